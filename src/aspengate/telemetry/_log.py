"""The log: one structured line for each change of state."""

from typing import Any, TextIO

import eliot


def log_to_stream(stream: TextIO) -> None:
    """Write every logged change to ``stream``, one JSON object a line."""
    eliot.to_file(stream)


def log_change(change: str, **fields: Any) -> None:
    """Log that something changed state; ``change`` names what, such as ``steward.takeover``."""
    eliot.log_message(message_type=f"aspengate.{change}", **fields)
