"""Permits to send one request to a replica."""

from collections.abc import Callable


class Permit:
    """Allows one request to be sent between ``ready_ms`` and ``until_ms``, in monotonic time.

    The permit counts against its bound from its acquisition until a window after its use.
    ``on_settled`` is called once, with whether the request was sent.
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
        """Return a permit that counts against no bound."""
        return cls(lambda _: None)

    def confirm(self, now_ms: float) -> bool:
        """Return whether the request may still be sent.

        Called immediately before the first byte is sent.
        """
        return now_ms <= self.until_ms

    def settle(self, *, sent: bool) -> None:
        """Report whether the request was sent; calls after the first one have no effect."""
        settled, self._on_settled = self._on_settled, None
        if settled is not None:
            settled(sent)


class JointPermit(Permit):
    """Combines several permits, all of which are required."""

    def __init__(self, *permits: Permit) -> None:
        super().__init__(self._settle_all, ready_ms=max(each.ready_ms for each in permits))
        self._permits = permits

    def confirm(self, now_ms: float) -> bool:
        """Return whether every permit still allows the request."""
        return all(each.confirm(now_ms) for each in self._permits)

    def _settle_all(self, sent: bool) -> None:
        for each in self._permits:
            each.settle(sent=sent)
