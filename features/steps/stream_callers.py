"""Callers that begin streams, break them off and take them up again."""

from dataclasses import dataclass, field

from gateway_world import TOKENS

EVENTS = 5
DEADLINE_MS = 10_000


@dataclass
class Stream:
    """A stream over all attempts of its caller; ``first`` is the attempt of its first event."""

    first: str
    number: int
    versions: set = field(default_factory=set)
    statuses: list = field(default_factory=list)
    last_event_id: int = 0
    is_whole: bool = False


def parts_of(number):
    """Return the segments of a prompt, of which the first one ranks the engines for the stream."""
    shared, own = TOKENS[0] * 4 // 5, TOKENS[0] // 5
    return f"{number + 16:x}:{shared},{number + 256:x}:{own}"


def begin(router, number, events=1):
    """Begin a stream and disconnect after some events."""
    caller = router.call()
    sent = {"body": b"essay", "tokens": TOKENS, "deadline_ms": DEADLINE_MS}
    stream = Stream(caller.send("POST", "/score/1", parts=parts_of(number), **sent), number)
    status, stream.versions = caller.read_events(events)
    stream.statuses.append(status)
    stream.last_event_id = events
    caller.close()
    return stream


def take_up(router, stream, events=None):
    """Take a stream up at a router; read it to its end, or break off after some events."""
    headers = (f"Last-Event-Id: {stream.last_event_id}", f"Resumes: {stream.first}")
    caller = router.call()
    sent = {"body": b"essay", "tokens": TOKENS, "deadline_ms": DEADLINE_MS, "headers": headers}
    caller.send("POST", "/score/1", parts=parts_of(stream.number), **sent)
    if events is not None:
        status, versions = caller.read_events(events)
        caller.close()
        stream.statuses.append(status)
        stream.versions |= versions
        stream.last_event_id += events
        return None
    answer = caller.read()
    caller.close()
    stream.statuses.append(answer.status)
    stream.versions |= answer.event_versions
    stream.last_event_id = max([stream.last_event_id, *answer.event_ids])
    stream.is_whole = answer.whole and stream.last_event_id == EVENTS
    return answer
