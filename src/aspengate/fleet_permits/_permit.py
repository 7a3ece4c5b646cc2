"""One request's permission to be sent to a replica."""

from collections.abc import Callable


class Permit:
    """Counts against its bound from when it is taken, and for a window after it was used.

    It may be used from ``ready_ms`` and until ``until_ms``, in monotonic time. ``on_settled`` is
    called once, with whether the request was sent.
    """

    def __init__(
        self,
        on_settled: Callable[[bool], None],
        *,
        ready_ms: float = float("-inf"),
        until_ms: float = float("inf"),
    ) -> None:
        self.ready_ms = ready_ms
        self.until_ms = until_ms
        self._on_settled: Callable[[bool], None] | None = on_settled

    @classmethod
    def unlimited(cls) -> "Permit":
        """Return one that counts against nothing."""
        return cls(lambda _: None)

    def confirm(self, now_ms: float) -> bool:
        """Return whether the request may still be sent; ask it just before the first byte goes."""
        return now_ms <= self.until_ms

    def settle(self, *, sent: bool) -> None:
        """Tell whether the request has been sent; only the first call counts."""
        settled, self._on_settled = self._on_settled, None
        if settled is not None:
            settled(sent)


class JointPermit(Permit):
    """Stands for several permits, each of which is needed."""

    def __init__(self, *permits: Permit) -> None:
        super().__init__(self._settle_all, ready_ms=max(each.ready_ms for each in permits))
        self._permits = permits

    def confirm(self, now_ms: float) -> bool:
        """Return whether all of them hold."""
        return all(each.confirm(now_ms) for each in self._permits)

    def _settle_all(self, sent: bool) -> None:
        for each in self._permits:
            each.settle(sent=sent)
