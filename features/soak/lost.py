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


def judge(run, call):
    """Return how a request ended: "answered", "lost", or why one without an answer is not lost.

    A request that was sent completely is lost if a replica received it, or if it ended later than
    ``LOSS_SLACK_S`` after its last byte. One that reached its deadline is not, nor one whose
    gateway was being stopped while a replica was at work on it late in the grace period.
    """
    if call.is_complete:
        return "answered"
    if not call.sent_s:
        return "not sent completely"
    if call.ended_s - call.began_s >= DEADLINE_S:
        return "past its deadline"
    arrivals = run.arrivals.get(call.request_id, ())
    if not arrivals and call.ended_s - call.sent_s <= LOSS_SLACK_S:
        return "not passed on"
    if any(_is_cut_at_work(each, call, arrivals) for each in _stops_of(run, call)):
        return "cut at work"
    return "lost"


def find_lost(run):
    """Return a line for each request that was lost."""
    for call in run.calls:
        if judge(run, call) == "lost":
            yield (
                f"lost: {call.request_id} {call.path.split('/')[1]} at {call.address}, "
                f"ended at {call.ended_s - run.started_s:.3f} s, "
                f"{(call.ended_s - call.sent_s) * 1000:.0f} ms after its last byte, {call.status} "
                f"{_describe_arrivals(run, call)}, {_describe_stops(run, call)}, {call.error}"
            )


def find_failed(run):
    """Return a line for each gateway that failed, or that a planned stop did not end properly."""
    yield from run.failed
    for stop in run.stops:
        if stop.exit_code != 0:
            how = "was killed" if stop.exit_code is None else f"exited with {stop.exit_code}"
            yield f"{stop.name} {how}, {stop.ended_s - stop.asked_s:.1f} s after its SIGTERM"


def _stops_of(run, call):
    return [
        each
        for each in run.stops
        if each.address == call.address
        and call.began_s <= each.ended_s
        and each.asked_s <= call.ended_s <= each.ended_s + READ_S
    ]


def _is_cut_at_work(stop, call, arrivals):
    last_part_s = stop.asked_s + LAST_PART_S
    return (
        call.sent_s <= stop.asked_s + LATE_S
        and call.ended_s >= last_part_s
        and any(each.ended_s is None or each.ended_s >= last_part_s for each in arrivals)
    )


def _describe_arrivals(run, call):
    spans = [
        f"{each.at_s - call.sent_s:.3f} to "
        + ("now" if each.ended_s is None else f"{each.ended_s - call.sent_s:.3f} s")
        for each in run.arrivals.get(call.request_id, ())
    ]
    return f"at replicas from {', '.join(spans)} after it" if spans else "not passed on"


def _describe_stops(run, call):
    stops = _stops_of(run, call)
    return f"{call.ended_s - stops[0].asked_s:.3f} s after its SIGTERM" if stops else "no stop"
