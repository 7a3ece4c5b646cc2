"""Decides after how many unanswered calls waiting watches are aborted."""

# A single unanswered call may be one lost packet, or a store that has just become slow.
_UNANSWERED_THRESHOLD = 2


class UnansweredCallCounter:
    """Counts consecutive calls that were not answered.

    After two of them, the connections of waiting watches are probably dead as well. Aborting those
    watches makes their callers retry and find out at once whether the store answers, instead of
    waiting for TCP keep-alive to fail. The caller must serialize access.
    """

    def __init__(self) -> None:
        self._unanswered = 0

    def record_answer(self) -> None:
        """Reset the count after an answered call."""
        self._unanswered = 0

    def record_unanswered(self) -> bool:
        """Count an unanswered call; return whether waiting watches must be aborted."""
        self._unanswered += 1
        return self._unanswered >= _UNANSWERED_THRESHOLD
