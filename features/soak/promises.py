"""What must hold, judged by what callers and replicas saw."""

from collections import Counter

from platform_standins import repeated, worst_window

REFUSALS = (408, 421, 429, 503)
EVENT_TOKENS = 3
DRAIN_S = 2.0
REST_S = 1.5
REST_NOTED_S = 0.5
MOST_IN_REST = 2


def broken_promises(soak):
    """Return a line for each promise that a run broke."""
    return [
        *repeats_beyond(soak, "portal"),
        *repeats_beyond(soak, "engine"),
        *run_twice(soak),
        *false_refusals(soak),
        *mixed_answers(soak),
        *overspent(soak),
        *unasked(soak),
        *sent_to_leaving(soak),
        *sent_into_rest(soak),
    ]


def repeats_beyond(soak, service):
    """In no window more arrivals beyond the first than the policy allows."""
    replicas = soak.fleet.of(service)
    repeats = repeated(each for replica in replicas for each in list(replica.requests))
    sent = [call.sent_s for call in soak.calls if call.service == service]
    worst, worst_s = worst_window(
        repeats, sent, ratio=soak.ratio, slack=soak.slack, window=soak.window_s
    )
    soak.figures[f"repeats {service}"] = len(repeats)
    soak.figures[f"requests {service}"] = len(sent)
    soak.figures[f"worst {service}"] = round(worst, 1)
    if worst > 0:
        yield f"repeats: {worst:.1f} beyond what {service} may get, {soak.moment(worst_s)}"


def run_twice(soak):
    """What may not be repeated runs at most once."""
    runs = all_runs(soak)
    for call in soak.calls:
        if call.once and runs[call.identity] > 1:
            times = runs[call.identity]
            yield f"twice: {call.identity} ran {times} times, {soak.moment(call.sent_s)}"


def false_refusals(soak):
    """A refusal of what may not be repeated is true."""
    runs = all_runs(soak)
    for call in soak.calls:
        if call.once and call.status in REFUSALS and runs[call.identity]:
            yield f"refused: {call.identity} got {call.status} and ran, {soak.moment(call.sent_s)}"


def mixed_answers(soak):
    """A success is whole and the caller's own; a stream that says it is complete lacks nothing."""
    for call in soak.calls:
        if call.status != 200 or not call.whole:
            continue
        if call.service == "portal" and call.path.encode() + b" " not in call.body + b" ":
            yield f"mixed: {call.path} got {call.body!r}, {soak.moment(call.sent_s)}"
        if call.service == "engine" and call.events != list(range(1, soak.events + 1)):
            yield f"order: {call.identity} got events {call.events}, {soak.moment(call.sent_s)}"


def overspent(soak):
    """No account gets more tokens than it paid for, over all runs and restarts."""
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


def unasked(soak):
    """Replicas run nothing that no caller sent."""
    asked = {call.identity for call in soak.calls}
    for identity in all_runs(soak):
        if identity not in asked:
            yield f"unasked: {identity} was run"


def all_runs(soak):
    runs = Counter()
    for replica in soak.fleet.replicas:
        runs.update(replica.runs)
    return runs


def keeps_words(soak, router):
    """Return whether a router's build reads what replicas say of themselves."""
    return router is not None and router.build != soak.earlier


def froze(soak, router, since_s, until_s):
    """Return whether a process was stopped at any time in a span: that excuses it."""
    return any(
        each is router and begun_s < until_s and ended_s > since_s
        for each, begun_s, ended_s in soak.frozen
    )


def sent_to_leaving(soak):
    """A router that passed on that a replica leaves sends it nothing that comes 2 s later."""
    calls = {call.identity: call for call in soak.calls}
    for replica in soak.fleet.replicas:
        got = [calls[each.identity] for each in list(replica.requests) if each.identity in calls]
        first = {}
        for call in got:
            if call.leaving and replica.leaving and keeps_words(soak, call.router):
                key = id(call.router)
                first[key] = min(first.get(key, call.ended_s), call.ended_s)
        for call in got:
            told_s = first.get(id(call.router))
            if told_s is None or call.sent_s <= told_s + DRAIN_S:
                continue
            if not froze(soak, call.router, told_s, call.sent_s + DRAIN_S):
                yield f"leaving: {call.identity} reached it, {soak.moment(call.sent_s)}"


def sent_into_rest(soak):
    """From half a second into a rest to its end a router sends the replica at most two requests."""
    calls = {call.identity: call for call in soak.calls}
    asked = 0
    for replica in soak.fleet.replicas:
        got = [
            (calls[each.identity].router, each.at_s)
            for each in list(replica.requests)
            if each.identity in calls
        ]
        for begun_s, identity in list(replica.backoff_requests):
            router = calls[identity].router if identity in calls else None
            if not keeps_words(soak, router):
                continue
            asked += 1
            first_s, last_s = begun_s + REST_NOTED_S, begun_s + REST_S
            count = sum(1 for each, at_s in got if each is router and first_s < at_s < last_s)
            if count > MOST_IN_REST and not froze(soak, router, begun_s, last_s):
                yield f"rest: {count} requests in it, {soak.moment(begun_s)}"
    soak.figures["rests"] = asked
