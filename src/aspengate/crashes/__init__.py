"""Detection of requests that crash replicas, and rules for when such a request may run again.

Load pattern: one request, or each one whose prompt has a certain segment, crashes each replica that
starts to run it, and callers send such requests to any router; up to 64 other requests are lost
with each replica. Without these rules one request that was sent twice a second crashed 20 replicas
in 40 s.
"""

from aspengate.crashes._answered import AnsweredSegments
from aspengate.crashes._fingerprint import request_fingerprint
from aspengate.crashes._policy import CrashPolicy, Verdict
from aspengate.crashes._record import (
    RECORD_PREFIX,
    CrashRecord,
    decide_verdict,
    decode_record,
    encode_record,
)
from aspengate.crashes._subjects import (
    CrashSubject,
    RequestSubjects,
    crash_subjects,
    is_segment_fingerprint,
)
from aspengate.crashes._suspects import SuspectTracker, replica_of_run

__all__ = [
    "RECORD_PREFIX",
    "AnsweredSegments",
    "CrashPolicy",
    "CrashRecord",
    "CrashSubject",
    "RequestSubjects",
    "SuspectTracker",
    "Verdict",
    "crash_subjects",
    "decide_verdict",
    "decode_record",
    "encode_record",
    "is_segment_fingerprint",
    "replica_of_run",
    "request_fingerprint",
]
