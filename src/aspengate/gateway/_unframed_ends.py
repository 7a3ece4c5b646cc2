"""Judges whether a response that ended with its connection is whole."""

import enum

from aspengate.connections import (
    BrokenResponseError,
    ListenerProbe,
    ListenerState,
    ReplicaResponse,
)
from aspengate.gateway._attempt import Attempt
from aspengate.gateway._crash_guard import CrashGuard
from aspengate.replicas import ReplicaRegistry
from aspengate.telemetry import Counters

# Two connections of 500 ms each: more than a round trip to another region takes. A replica that is
# reachable delays its response by one connection only.
_REACHABLE_TIMEOUT_MS = 1_000.0


class UnframedEnd(enum.Enum):
    """How the end of a response without a length or chunks is judged.

    The values appear in the lines of requests and in the names of counters.
    """

    WHOLE = "whole"
    REPLICA_ENDED = "replica_ended"
    UNREACHABLE = "unreachable"


_REASONS = {
    UnframedEnd.REPLICA_ENDED: "ended together with its replica",
    UnframedEnd.UNREACHABLE: "ended without a length, and its replica can't be reached",
}
_BY_LISTENER = {
    ListenerState.LISTENING: UnframedEnd.WHOLE,
    ListenerState.REFUSED: UnframedEnd.REPLICA_ENDED,
    ListenerState.UNREACHABLE: UnframedEnd.UNREACHABLE,
}


class UnframedEnds:
    """Judges the ends of unframed responses, buffered ones and streams alike.

    The operating system closes the connections of a process that crashes in the same orderly way
    as the process itself does after a whole response. A response counts as whole only if a process
    still listens at its replica's address, and nothing shows that it is another one;
    ``docs/design/streams.md`` lists the cases.
    """

    def __init__(
        self,
        crashes: CrashGuard,
        registry: ReplicaRegistry,
        probe: ListenerProbe,
        counters: Counters,
    ) -> None:
        self.crashes = crashes
        self.registry = registry
        self.probe = probe
        self.counters = counters

    def check(self, attempt: Attempt, answer: ReplicaResponse) -> None:
        """Raise BrokenResponseError if a response that was read to its end may be incomplete."""
        if answer.is_framed:
            return
        end = self._judge(attempt, answer)
        attempt.unframed_end = end.value
        self.counters.count(f"gateway.unframed_{end.value}")
        if end is not UnframedEnd.WHOLE:
            raise BrokenResponseError(_REASONS[end], answer.connection.address)

    def _judge(self, attempt: Attempt, answer: ReplicaResponse) -> UnframedEnd:
        timeout_ms = min(_REACHABLE_TIMEOUT_MS, attempt.exchange.waiter.remaining_ms)
        listener = self.probe.probe(answer.connection.address, timeout_ms)
        # Another process may listen there by now, so that what is known of the replica counts too.
        if listener is ListenerState.LISTENING and self._is_known_ended(attempt):
            return UnframedEnd.REPLICA_ENDED
        return _BY_LISTENER[listener]

    def _is_known_ended(self, attempt: Attempt) -> bool:
        return self.crashes.has_ended(attempt.replica_run) or self.registry.has_ended_since(
            attempt.view, attempt.sent_ms
        )
