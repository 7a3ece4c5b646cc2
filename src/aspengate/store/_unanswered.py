"""When calls to the store that get no answer put the watches that wait for it in doubt."""

# So many calls in a row without an answer: one may be lost by itself, or meet a store that has
# just become slow.
_UNANSWERED = 2


class UnansweredCallCounter:
    """Counts the calls in a row that got no answer.

    The connections of watches that wait probably say nothing any more either, after two such
    calls. Ended then, their callers ask anew and learn at once whether the store answers, instead
    of waiting for keep-alive.
    """

    def __init__(self) -> None:
        self._unanswered = 0

    def record_answer(self) -> None:
        """Note an answer."""
        self._unanswered = 0

    def record_unanswered(self) -> bool:
        """Note a call without an answer; return whether waiting watches are to be ended."""
        self._unanswered += 1
        return self._unanswered >= _UNANSWERED
