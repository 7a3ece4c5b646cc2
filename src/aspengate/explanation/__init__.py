"""Reconstructs the trace of one request from the logs of several routers."""

from aspengate.explanation._lines import LogLine, read_lines
from aspengate.explanation._trace import RequestTrace, trace_request

__all__ = ["LogLine", "RequestTrace", "read_lines", "trace_request"]
