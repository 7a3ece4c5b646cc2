"""Steps on replicas that respond to an upload before they have read it."""

from behave import given, then, when
from platform_standins.client import Caller
from platform_standins.early import PART
from platform_standins.fleet import eventually

from gateway_world import GENEROUS_RETRIES, TOKENS, metrics_page, start_gateways

MAX_BODY_BYTES = 4_200_000
# More than the buffers of both sockets hold.
UPLOAD = b"u" * 4_000_000
UPLOADS = {
    "statuses": ("POST", "/status/{}", None),
    "receipts": ("PUT", "/receipt/{}", None),
    "reviews": ("POST", "/review/{}", TOKENS),
    "scores": ("POST", "/score/{}", TOKENS),
}


def start(context, replicas):
    start_gateways(context, replicas=replicas, **GENEROUS_RETRIES)
    version = context.fleet.operator.change(
        lambda configuration: configuration["limits"].update(maxBodyBytes=MAX_BODY_BYTES)
    )
    in_force = f'"configuration_version"}} {version}.0'
    assert eventually(lambda: in_force in metrics_page(context.router))


def respond_early(context, choose):
    for replica in context.fleet.replicas:
        replica.choose_early = choose
        replica.narrow_connections()


@given('a gateway with one replica per service that responds "{behaviour}" to uploads')
def one_early_replica(context, behaviour):
    start(context, replicas=1)
    respond_early(context, lambda request: behaviour)


@given('a gateway with two replicas per service, and a first response "{behaviour}" to uploads')
def two_early_replicas(context, behaviour):
    start(context, replicas=2)
    asked = set()

    def choose_first(request):
        is_first = request.identity not in asked
        asked.add(request.identity)
        return behaviour if is_first else ""

    respond_early(context, choose_first)


@when("{count:d} {kind} are uploaded with {framing}")
def upload(context, count, kind, framing):
    method, path, tokens = UPLOADS[kind]
    context.answers, context.identities = [], []
    for number in range(count):
        caller = Caller(context.router.address)
        fields = {"body": UPLOAD, "tokens": tokens, "chunked": framing == "chunks"}
        context.identities.append(caller.send(method, path.format(number), **fields))
        context.answers.append(caller.read())
        caller.close()


@then("each caller receives a complete response {status:d} without a replica's signature")
def each_fails(context, status):
    for answer in context.answers:
        assert answer.whole and answer.status == status, (answer.status, answer.headers)
        assert not answer.header("X-Server-Stamp"), answer.headers


@then("each request was run once")
def each_ran_once(context):
    runs = [context.fleet.runs(identity) for identity in context.identities]
    assert runs == [1] * len(runs), runs


@then("each caller receives the other replica's complete response")
def each_gets_other_response(context):
    identities = [each.identity for each in context.fleet.of("portal")]
    for number, answer in enumerate(context.answers):
        assert answer.whole and answer.status == 200, (number, answer.status, answer.headers)
        replica, target, _ = answer.body.split(b" ")
        assert replica.decode() in identities, answer.body[:100]
        assert target == b"/receipt/%d" % number, answer.body[:100]


@then("no caller receives a complete success")
def none_succeeds(context):
    for answer in context.answers:
        assert answer.status in (200, 502), (answer.status, answer.headers)
        is_success = answer.status == 200 and answer.whole
        assert not is_success, (answer.headers, len(answer.body))


@then("each caller receives every event once in one complete response")
def each_gets_every_event(context):
    for answer in context.answers:
        assert answer.status == 200 and answer.whole, (answer.status, answer.headers)
        assert answer.event_ids == [1, 2, 3, 4, 5], answer.event_ids


@then("each caller receives the replica's whole response")
def each_gets_whole_part(context):
    for answer in context.answers:
        assert answer.status == 200 and answer.whole, (answer.status, answer.headers)
        assert answer.body == PART, len(answer.body)
