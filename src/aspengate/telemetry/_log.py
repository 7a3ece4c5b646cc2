"""The structured log: one JSON line for each state change or decision."""

from typing import Any, TextIO

import eliot


def log_to_stream(stream: TextIO) -> None:
    """Write every log message to ``stream``, one JSON object per line."""
    eliot.to_file(stream)


def log_change(change: str, **fields: Any) -> None:
    """Log a state change; ``change`` is the event name, such as ``steward.takeover``."""
    eliot.log_message(message_type=f"aspengate.{change}", **fields)
