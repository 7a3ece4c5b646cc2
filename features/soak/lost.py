"""Finds requests that ended without an answer although a gateway had accepted them."""

import dataclasses

# Limit of the time that a planned stop may take.
GRACE_S = 8.0
# The deadline of each request, which is earlier than its route's timeout.
DEADLINE_S = 4.0
# A request that no replica received may end without an answer up to this long after its last byte.
LOSS_SLACK_S = 0.2
# A replica may still be at work in the last sixth of a grace period, but only on requests that were
# sent up to this long after the SIGTERM; gateways refuse later ones.
LATE_S = 3.0
LAST_PART_S = GRACE_S * 5 / 6
# A connection that its gateway's end cuts is read by its caller up to this long after it.
READ_S = 1.0


@dataclasses.dataclass(frozen=True)
class Stop:
    """A planned stop of a gateway, from its SIGTERM to the end of its process.

    ``exit_code`` is None if the process had to be killed at the end of the grace period.
    """

    name: str
    address: str
    asked_s: float
    ended_s: float
    exit_code: int | None


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request at a replica, which worked on it until ``ended_s``; None if it still does."""

    at_s: float
    ended_s: float | None


def find_lost(run):
    """Return a line for each request that ended without an answer although it had been accepted.

    A request that was sent completely counts if a replica received it, or if it ended later than
    ``LOSS_SLACK_S`` after its last byte. One that reached its deadline does not count, nor one
    whose gateway was being stopped while a replica was at work on it late in the grace period.
    """
    for call in run.calls:
        if call.is_complete or not call.sent_s or reached_deadline(call):
            continue
        arrivals = run.arrivals.get(call.request_id, ())
        waited_s = call.ended_s - call.sent_s
        if not arrivals and waited_s <= LOSS_SLACK_S:
            continue
        stops = [each for each in run.stops if _covers(each, call)]
        if any(_is_cut_at_work(each, call, arrivals) for each in stops):
            continue
        yield (
            f"lost: {call.request_id} {call.path.split('/')[1]} at {call.address}, "
            f"ended at {call.ended_s - run.started_s:.3f} s, "
            f"{waited_s * 1000:.0f} ms after its last byte, {call.status} "
            f"{_describe_arrivals(call, arrivals)}, {_describe_stops(call, stops)}, {call.error}"
        )


def find_failed(run):
    """Return a line for each gateway that failed, or that a planned stop did not end properly."""
    yield from run.failed
    for stop in run.stops:
        if stop.exit_code != 0:
            how = "was killed" if stop.exit_code is None else f"exited with {stop.exit_code}"
            yield f"{stop.name} {how}, {stop.ended_s - stop.asked_s:.1f} s after its SIGTERM"


def reached_deadline(call):
    """Return whether a request ended after its deadline, which counts from its first byte."""
    return call.ended_s - call.began_s >= DEADLINE_S


def _covers(stop, call):
    return (
        stop.address == call.address
        and call.began_s <= stop.ended_s
        and stop.asked_s <= call.ended_s <= stop.ended_s + READ_S
    )


def _is_cut_at_work(stop, call, arrivals):
    last_part_s = stop.asked_s + LAST_PART_S
    return (
        call.sent_s <= stop.asked_s + LATE_S
        and call.ended_s >= last_part_s
        and any(each.ended_s is None or each.ended_s >= last_part_s for each in arrivals)
    )


def _describe_arrivals(call, arrivals):
    if not arrivals:
        return "not passed on"
    spans = (
        f"{each.at_s - call.sent_s:.3f} to "
        + ("now" if each.ended_s is None else f"{each.ended_s - call.sent_s:.3f} s")
        for each in arrivals
    )
    return f"passed on, at replicas from {', '.join(spans)} after its last byte"


def _describe_stops(call, stops):
    return f"{call.ended_s - stops[0].asked_s:.3f} s after its SIGTERM" if stops else "no stop"
