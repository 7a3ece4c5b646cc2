"""Requests under which replicas end: which they are, and when one may be tried again.

Load pattern: one request ends each replica that begins to run it, and its caller comes back with
it to any router; up to 64 others are lost with each replica. 20 replicas ended in 40 s under one
request that came twice a second (4 routers, 6 replicas).
"""

from aspengate.crashes._fingerprint import request_fingerprint
from aspengate.crashes._policy import CrashPolicy, Verdict
from aspengate.crashes._record import (
    RECORD_PREFIX,
    CrashRecord,
    decide_verdict,
    decode_record,
    encode_record,
)
from aspengate.crashes._suspects import SuspectTracker, replica_of_run

__all__ = [
    "RECORD_PREFIX",
    "CrashPolicy",
    "CrashRecord",
    "SuspectTracker",
    "Verdict",
    "decide_verdict",
    "decode_record",
    "encode_record",
    "replica_of_run",
    "request_fingerprint",
]
