"""A replica with the expected cost of a request there."""

from dataclasses import dataclass

from aspengate.replicas._view import ReplicaView

# Cost of a replica that is to be avoided, which exceeds all other costs.
_AVOIDED_COST_MS = 10_000.0


@dataclass(frozen=True)
class Candidate:
    """A replica with the expected cost of a request there.

    Replicas are compared by ``cost_ms``; ``first_ms`` is the expected time to first token.
    ``tokens`` of the request's prompt have to be read there, after ``backlog_tokens`` of others.
    ``harm_ms`` is the share of the cost for streams that the request would delay, and ``trial_ms``
    what the request is expected to lose if it is sent there only to observe the replica.
    ``network_ms`` is the round trip to a replica of another region, which ``first_ms`` lacks.
    """

    view: ReplicaView
    cost_ms: float
    first_ms: float = 0.0
    tokens: float = 0.0
    backlog_tokens: float = 0.0
    harm_ms: float = 0.0
    trial_ms: float = 0.0
    network_ms: float = 0.0


def is_avoided(view: ReplicaView, now_ms: float) -> bool:
    """Return whether a replica can't be reached or does not respond."""
    return now_ms < view.avoid_until_ms or view.is_unresponsive(now_ms)


def failure_cost_ms(view: ReplicaView, now_ms: float, failure_ms: float, *, avoided: bool) -> float:
    """Return the cost of a replica's recent failures and of missing responses, in ms.

    ``failure_ms`` is the cost of a certain failure.
    """
    return view.failure_rate(now_ms) * failure_ms + (_AVOIDED_COST_MS if avoided else 0.0)
