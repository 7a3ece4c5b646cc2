"""Prepaid tokens of requests: reserved before a request runs, settled after it."""

from aspengate.gateway.prepaid._account import ALLOWANCE_PREFIX, LimitSource, Ticket
from aspengate.gateway.prepaid._accounts import TokenAccounts
from aspengate.gateway.prepaid._loans import Loans, NoLoans, PeerLoans
from aspengate.gateway.prepaid._witness import NoWitness, RemoteWitness, SessionList, Witness

__all__ = [
    "ALLOWANCE_PREFIX",
    "LimitSource",
    "Loans",
    "NoLoans",
    "NoWitness",
    "PeerLoans",
    "RemoteWitness",
    "SessionList",
    "Ticket",
    "TokenAccounts",
    "Witness",
]
