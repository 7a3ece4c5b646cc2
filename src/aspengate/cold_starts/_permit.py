"""One request's permission to be sent to a replica."""

from collections.abc import Callable


class ColdStartPermit:
    """Counts against its replica from the decision on, and for a window after it was sent.

    ``on_settled`` is called once, with whether the request was sent.
    """

    def __init__(self, on_settled: Callable[[bool], None]) -> None:
        self._on_settled: Callable[[bool], None] | None = on_settled

    def settle(self, *, sent: bool) -> None:
        """Tell whether the request has been sent; only the first call counts."""
        settled, self._on_settled = self._on_settled, None
        if settled is not None:
            settled(sent)
