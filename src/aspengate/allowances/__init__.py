"""Accounting of prepaid tokens: the tokens granted to each router's session and those it used.

The modules of this package hold state and make decisions. They do not call the store, and they
receive the current time as a parameter.
"""

from aspengate.allowances._balance import TokenBalance
from aspengate.allowances._document import (
    AllowanceDocument,
    close_session,
    decode_document,
    encode_document,
    end_session,
    router_of,
    session_name,
    set_allowance,
)
from aspengate.allowances._restoration import (
    adopt_document,
    restore_document,
    restore_sessions,
)
from aspengate.allowances._sizing import AllocationState, AllowanceSizing, Demand
from aspengate.allowances._witness import CeilingRegistry

__all__ = [
    "AllocationState",
    "AllowanceDocument",
    "AllowanceSizing",
    "CeilingRegistry",
    "Demand",
    "TokenBalance",
    "adopt_document",
    "close_session",
    "decode_document",
    "encode_document",
    "end_session",
    "restore_document",
    "restore_sessions",
    "router_of",
    "session_name",
    "set_allowance",
]
