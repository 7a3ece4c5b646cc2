"""The process on an entry instance: admits, reserves, chooses, relays and settles."""

from aspengate.router._claims import ClaimService
from aspengate.router._daemon import Router
from aspengate.router._recovery import RecoveryService
from aspengate.router._settings import RouterSettings
from aspengate.router._stewards import StewardService, budget_document
from aspengate.router._streams import AnswerStream, StreamTable
from aspengate.router._table import TableEditor, TableFollower

__all__ = [
    "AnswerStream",
    "ClaimService",
    "RecoveryService",
    "Router",
    "RouterSettings",
    "StewardService",
    "StreamTable",
    "TableEditor",
    "TableFollower",
    "budget_document",
]
