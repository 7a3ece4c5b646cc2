"""What must hold, judged by what callers and replicas saw."""

from collections import Counter

from platform_standins import repeated, worst_window

REFUSALS = (408, 421, 429, 503)
EVENT_TOKENS = 3


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
