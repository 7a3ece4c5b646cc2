"""Invariants of a soak run, checked against what callers and replicas recorded."""

from collections import Counter

from platform_standins import repeated, worst_window

from soak.crashing import excess_crashes

# Status codes that state that the request did not run.
REFUSALS = (408, 421, 429, 503)
EVENT_TOKENS = 3
# Time in which a router may still send requests to a replica after it relayed that it is leaving.
DRAIN_S = 2.0
# Length of the backoff that replicas ask for, and the time that a router has to apply it.
BACKOFF_S = 1.5
BACKOFF_APPLY_S = 0.5
MAX_REQUESTS_IN_BACKOFF = 2


def find_violations(soak):
    """Return one line for each violated invariant of a finished run."""
    return [
        *excess_retries(soak, "portal"),
        *excess_retries(soak, "engine"),
        *duplicate_runs(soak),
        *false_refusals(soak),
        *wrong_responses(soak),
        *token_overspend(soak),
        *unsent_requests(soak),
        *requests_to_leaving(soak),
        *requests_in_backoff(soak),
        *(excess_crashes(soak) if soak.crashing else ()),
    ]


def excess_retries(soak, service):
    """Check that no window has more retries than the retry budget allows.

    A retry is any arrival of a request at a replica after its first one.
    """
    replicas = soak.fleet.of(service)
    retries = repeated(each for replica in replicas for each in list(replica.requests))
    sent = [call.sent_s for call in soak.calls if call.service == service]
    worst, worst_s = worst_window(
        retries, sent, ratio=soak.retry_ratio, slack=soak.retry_slack, window=soak.retry_window_s
    )
    soak.figures[f"repeats {service}"] = len(retries)
    soak.figures[f"requests {service}"] = len(sent)
    soak.figures[f"worst {service}"] = round(worst, 1)
    if worst > 0:
        yield f"repeats: {worst:.1f} beyond what {service} may get, {soak.describe_moment(worst_s)}"


def duplicate_runs(soak):
    """Check that requests that must not be retried run at most once."""
    runs = count_runs(soak)
    for call in soak.calls:
        if call.at_most_once and runs[call.request_id] > 1:
            count = runs[call.request_id]
            moment = soak.describe_moment(call.sent_s)
            yield f"twice: {call.request_id} ran {count} times, {moment}"


def false_refusals(soak):
    """Check that a refused request that must not be retried did not run."""
    runs = count_runs(soak)
    for call in soak.calls:
        if call.at_most_once and call.status in REFUSALS and runs[call.request_id]:
            moment = soak.describe_moment(call.sent_s)
            yield f"refused: {call.request_id} got {call.status} and ran, {moment}"


def wrong_responses(soak):
    """Check that a complete success belongs to the caller's own request and lacks no event."""
    for call in soak.calls:
        if call.status != 200 or not call.is_complete:
            continue
        if call.service == "portal" and call.path.encode() + b" " not in call.body + b" ":
            moment = soak.describe_moment(call.sent_s)
            yield f"mixed: {call.path} got {call.body!r}, {moment}"
        if call.service == "engine" and call.event_ids != list(range(1, soak.stream_events + 1)):
            moment = soak.describe_moment(call.sent_s)
            yield f"order: {call.request_id} got events {call.event_ids}, {moment}"


def token_overspend(soak):
    """Check that the account used no more tokens than prepaid, over all runs and restarts."""
    prompts, events = {}, Counter()
    for replica in soak.fleet.of("engine"):
        for request in list(replica.requests):
            if replica.runs[request.identity]:
                prompts[request.identity] = int(request.header("X-Token-Count").split(",")[0])
        events.update(replica.sent_events)
    spent = sum(prompts.values()) + EVENT_TOKENS * sum(events.values())
    soak.figures["tokens"] = spent
    if spent > soak.prepaid:
        yield f"overspent: {spent} tokens of {soak.prepaid}"


def unsent_requests(soak):
    """Check that replicas run only requests that a caller sent."""
    sent = {call.request_id for call in soak.calls}
    for request_id in count_runs(soak):
        if request_id not in sent:
            yield f"unasked: {request_id} was run"


def count_runs(soak):
    """Return how often replicas ran each request, by request id."""
    runs = Counter()
    for replica in soak.fleet.replicas:
        runs.update(replica.runs)
    return runs


def reads_reported_state(soak, router):
    """Return whether a router's build reads the state that replicas report in responses."""
    return router is not None and router.build != soak.earlier


def was_stopped(soak, router, since_s, until_s):
    """Return whether a router process was stopped (SIGSTOP) at any time in a span.

    A stopped router cannot react to a replica's state, so its violations do not count.
    """
    return any(
        stopped is router and start_s < until_s and end_s > since_s
        for stopped, start_s, end_s in soak.stopped_spans
    )


def requests_to_leaving(soak):
    """Check that a router stops sending to a replica after it relayed that the replica leaves.

    Requests that callers sent up to ``DRAIN_S`` after the first such response may still arrive.
    """
    calls = {call.request_id: call for call in soak.calls}
    for replica in soak.fleet.replicas:
        received = [
            calls[each.identity] for each in list(replica.requests) if each.identity in calls
        ]
        first = {}
        for call in received:
            if call.leaving and replica.leaving and reads_reported_state(soak, call.router):
                key = id(call.router)
                first[key] = min(first.get(key, call.ended_s), call.ended_s)
        for call in received:
            relayed_s = first.get(id(call.router))
            if relayed_s is None or call.sent_s <= relayed_s + DRAIN_S:
                continue
            if not was_stopped(soak, call.router, relayed_s, call.sent_s + DRAIN_S):
                moment = soak.describe_moment(call.sent_s)
                yield f"leaving: {call.request_id} reached it, {moment}"


def requests_in_backoff(soak):
    """Check that routers observe the backoff that a replica asked for.

    From ``BACKOFF_APPLY_S`` after the request for a backoff to its end, the router that received it
    sends the replica at most ``MAX_REQUESTS_IN_BACKOFF`` requests.
    """
    calls = {call.request_id: call for call in soak.calls}
    checked = 0
    for replica in soak.fleet.replicas:
        received = [
            (calls[each.identity].router, each.at_s)
            for each in list(replica.requests)
            if each.identity in calls
        ]
        for asked_s, request_id in list(replica.backoff_requests):
            router = calls[request_id].router if request_id in calls else None
            if not reads_reported_state(soak, router):
                continue
            checked += 1
            first_s, last_s = asked_s + BACKOFF_APPLY_S, asked_s + BACKOFF_S
            count = sum(1 for each, at_s in received if each is router and first_s < at_s < last_s)
            if count > MAX_REQUESTS_IN_BACKOFF and not was_stopped(soak, router, asked_s, last_s):
                yield f"rest: {count} requests in it, {soak.describe_moment(asked_s)}"
    soak.figures["rests"] = checked
