"""Reads the operator's orders to roll out versions."""

import threading
from collections.abc import Collection
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.gateway._ports import Deployment
from aspengate.gateway._unreadable import UnreadableItems
from aspengate.rollouts import RolloutDocument, RolloutOrder
from aspengate.store import MirrorState, number_of
from aspengate.telemetry import Counters, log_change


@dataclass(frozen=True)
class SeenOrder:
    """An order, and when this router first saw it in monotonic ms.

    ``seen_ms`` is None if the order was there when the router started.
    """

    order: RolloutOrder
    seen_ms: float | None


class RolloutOrders:
    """Holds the orders that the store has, by service.

    A malformed order is logged once and ignored: the last order that could be read stays, as long
    as there is an item under its key.
    """

    def __init__(self, deployment: Deployment, clock: Clock, counters: Counters) -> None:
        self.revision = 0
        self._deployment = deployment
        self._clock = clock
        self._unreadable = UnreadableItems(counters)
        self._orders: dict[str, SeenOrder] = {}
        self._keys: dict[str, SeenOrder] = {}
        self._malformed: frozenset[str] = frozenset()
        self._lock = threading.Lock()

    @property
    def is_loaded(self) -> bool:
        """Whether the orders have been read."""
        return self.revision > 0

    @property
    def services(self) -> Collection[str]:
        """The services for which there is an order."""
        return tuple(self._orders)

    def get(self, service: str) -> SeenOrder | None:
        """Return the order for a service, None if there is none."""
        return self._orders.get(service)

    def current(self, service: str, document: RolloutDocument | None) -> SeenOrder | None:
        """Return the order in force for a service, given its newest document; None without one.

        If the order was overwritten by a malformed one before this router started, that of the
        document is still in force.
        """
        seen = self._orders.get(service)
        if seen is not None or document is None or document.has_ended:
            return seen
        if not any(key.endswith(f"/{service}") for key in self._malformed):
            return None
        order = RolloutOrder(
            service, document.target_version, document.duration_ms, document.order_revision
        )
        return SeenOrder(order, None)

    def load(self, state: MirrorState) -> None:
        """Replace the orders by those in a state of the operator's mirror."""
        is_first = not self.is_loaded
        now = self._clock.monotonic_ms()
        keys: dict[str, SeenOrder] = {}
        malformed = set()
        for item in state.items.values():
            known = self._keys.get(item.key)
            try:
                order = self._deployment.read_rollout(item)
            except AspengateError as error:
                self._unreadable.report("rollout", item, error)
                malformed.add(item.key)
                if known is not None:
                    keys[item.key] = known
                continue
            if order is not None:
                keys[item.key] = _seen(order, known, None if is_first else now)
        with self._lock:
            before, self._keys = self._keys, keys
            self._malformed = frozenset(malformed)
            self._orders = {each.order.service: each for each in keys.values()}
            self.revision = state.revision
        for key, seen in keys.items():
            if before.get(key) != seen:
                _log_order(seen.order)
        for key in set(before) - set(keys):
            log_change("rollout.withdrawn", service=before[key].order.service)


def _seen(order: RolloutOrder, known: SeenOrder | None, now_ms: float | None) -> SeenOrder:
    if known is not None and known.order == order:
        return known
    return SeenOrder(order, now_ms)


def _log_order(order: RolloutOrder) -> None:
    log_change(
        "rollout.ordered",
        service=order.service,
        target=order.target_version,
        duration_ms=round(order.duration_ms),
        revision=number_of(order.revision),
    )
