"""Steps for planned work on real gateways, and for how lost requests are told from others."""

from types import SimpleNamespace

from behave import then, when
from soak.callers import CallRecord
from soak.lost import GRACE_S, Arrival, Stop, find_failed, find_lost, judge
from soak.planned import ACTIONS, PlannedRun, draw_planned

ADDRESS = "127.0.0.11:1"
SENT_S = 100.0


def judge_one(context, *, sent_s, ended_s, arrivals=(), stops=(), **fields):
    """Judge one made-up request; without further ``fields`` no answer completed it."""
    fields = {"began_s": sent_s, "sent_s": sent_s, "ended_s": ended_s, **fields}
    call = CallRecord("r1", "/status/r1", ADDRESS, **fields)
    run = SimpleNamespace(
        calls=[call], arrivals={"r1": list(arrivals)}, stops=list(stops), started_s=0.0
    )
    context.verdict = judge(run, call)
    context.lost = list(find_lost(run))


def stop_at(asked_s, address=ADDRESS):
    return Stop("router-1", address, asked_s, asked_s + 7.2, 0)


@when("a request that was passed on ends without an answer {after:g} s after its last byte")
def end_passed_on(context, after):
    arrivals = [Arrival(SENT_S + 0.01, SENT_S + after)]
    judge_one(context, sent_s=SENT_S, ended_s=SENT_S + after, arrivals=arrivals)


@when("a request that was not passed on ends without an answer {after:g} s after its last byte")
def end_not_passed_on(context, after):
    judge_one(context, sent_s=SENT_S, ended_s=SENT_S + after)


@when(
    "a request is sent {sent:g} s and cut {cut:g} s after SIGTERM, "
    "and its replica works until {until:g} s"
)
def cut_in_stop(context, sent, cut, until):
    arrivals = [Arrival(SENT_S + sent, SENT_S + until)]
    times = {"sent_s": SENT_S + sent, "ended_s": SENT_S + cut}
    judge_one(context, **times, arrivals=arrivals, stops=[stop_at(SENT_S)])


@when("a request is cut late in a planned stop of another gateway")
def cut_beside_stop(context):
    times = {"sent_s": SENT_S + 2.9, "ended_s": SENT_S + 6.8}
    arrivals = [Arrival(times["sent_s"], times["ended_s"])]
    judge_one(context, **times, arrivals=arrivals, stops=[stop_at(SENT_S, "127.0.0.12:1")])


@when("a request that was passed on is answered")
def answer(context):
    arrivals = [Arrival(SENT_S, SENT_S + 1.0)]
    judge_one(context, sent_s=SENT_S, ended_s=SENT_S + 1.0, arrivals=arrivals, is_complete=True)


@when("a request ends before its last byte was sent")
def break_off(context):
    judge_one(context, sent_s=0.0, ended_s=SENT_S + 1.0, began_s=SENT_S)


@then('it is judged "{verdict}"')
def check_verdict(context, verdict):
    assert context.verdict == verdict, context.verdict
    assert bool(context.lost) == (verdict == "lost"), context.lost


@when("planned stops end with code 0, with code 1 and with a kill, and a gateway fails")
def end_stops(context):
    stops = [Stop(f"router-{code}", ADDRESS, 0.0, 7.0, code) for code in (0, 1, None)]
    context.found = list(find_failed(SimpleNamespace(stops=stops, failed=["router-failed"])))


@then("the last three are found")
def check_failed(context):
    names = {line.split(" ")[0] for line in context.found}
    assert names == {"router-1", "router-None", "router-failed"}, context.found


@then("two draws of planned work with one seed are equal, and 20 seeds contain every kind of it")
def check_draws(context):
    assert draw_planned(1, 24, 4) == draw_planned(1, 24, 4)
    drawn = {work.kind for seed in range(20) for work in draw_planned(seed, 24, 4)}
    assert drawn == set(ACTIONS), drawn


@when("the planned work of seed {seed:d} is run for {seconds:d} seconds on {routers:d} gateways")
def run_planned(context, seed, seconds, routers):
    context.planned = PlannedRun(seed, seconds, routers).run()
    context.fleet = context.planned.fleet


@then("no request is lost, and each stop ended within its grace period with code 0")
def check_nothing_lost(context):
    run = context.planned
    lost = list(find_lost(run))
    assert not lost, (len(lost), lost[:5], [work.describe() for work in run.plan])
    assert not list(find_failed(run)), list(find_failed(run))
    assert run.stops and all(each.ended_s - each.asked_s <= GRACE_S for each in run.stops)


@then("requests were answered during the planned work")
def check_answered(context):
    # The number depends on the machine; a run in which the gateways hardly served shows nothing.
    figures = context.planned.figures
    assert figures["answered"] >= max(100, figures["calls"] / 2), figures
