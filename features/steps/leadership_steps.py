"""Steps on leaders of failure domains and the routers that receive changes from them."""

from behave import given, then, when
from platform_standins import Fleet
from platform_standins.fleet import eventually

from aspengate.clock import ManualClock, SystemClock
from aspengate.peers import DatagramPort, DomainLeadership, Member, MemberList
from aspengate.store import Changes, MirrorMode, Removal, Snapshot, StoreEra, StoreItem, StoreMirror
from aspengate.telemetry import NullCounters
from gateway_world import start_gateways

STATUS_INTERVAL_MS = 300
STEP_MS = 50


class Router:
    """Simulates a router; the store answers its watches while ``reaches_store`` is true.

    ``store_calls`` counts its calls that start to watch the store, and ``watches_answered`` is
    whether the store answered the last one.
    """

    def __init__(self, name, domain, clock, capacity=128):
        self.name = name
        own = Member(name, f"10.0.0.1:{name}", f"{name}.{capacity}", domain, capacity)
        self.members = MemberList(own, clock)
        self.leadership = DomainLeadership(self.members, clock)
        self.reaches_store = True
        self.running = True
        self.store_calls = 0
        self.watches_answered = False

    @property
    def connected(self):
        return self.watches_answered or self.leadership.mode is MirrorMode.TOLD

    def update(self):
        before = self.leadership.mode
        self.leadership.update(connected=self.watches_answered)
        if self.leadership.mode is not MirrorMode.FOLLOWING:
            self.watches_answered = False
        elif before is not MirrorMode.FOLLOWING or not self.watches_answered:
            self.store_calls += 1
            self.watches_answered = self.reaches_store
        elif not self.reaches_store:
            self.watches_answered = False


class SimulatedFleet:
    """Simulates routers that start together and send status messages at regular intervals."""

    def __init__(self, count, domains):
        self.clock = ManualClock()
        self.routers = [
            Router(f"r{number}", f"hall-{number % domains}", self.clock) for number in range(count)
        ]
        listed = [self.record(each.members.own) for each in self.routers]
        for each in self.routers:
            each.members.update(Snapshot(tuple(listed), 1))

    def record(self, member):
        text = (
            f'{{"name":"{member.name}","address":"{member.address}",'
            f'"session":"{member.session}","failure_domain":"{member.failure_domain}",'
            f'"capacity":{member.capacity}}}'
        )
        return StoreItem(f"aspengate/routers/{member.name}", text.encode(), 1)

    def run(self, milliseconds):
        for step in range(int(milliseconds // STEP_MS)):
            self.clock.advance(STEP_MS)
            for number, router in enumerate(self.routers):
                if router.running and (step + number) % (STATUS_INTERVAL_MS // STEP_MS) == 0:
                    router.update()
                    self.send_status(router)

    def send_status(self, router):
        for other in self.routers:
            if other.running and other is not router:
                other.members.record_status(
                    router.members.own,
                    reaches_store=router.connected,
                    leads=router.members.leads,
                    listed=len(self.routers),
                )

    def leaders(self, domain):
        return [
            each
            for each in self.routers
            if each.running
            and each.members.leads
            and each.watches_answered
            and each.members.own.failure_domain == domain
        ]

    @property
    def domains(self):
        return sorted({each.members.own.failure_domain for each in self.routers})

    def primaries(self, router):
        accounts = [f"account-{number}" for number in range(40)]
        return [
            router.members.primary(name, frozenset(), own_reaches=router.connected).name
            for name in accounts
        ]


@given("{count:d} routers in {domains:d} failure domains that start together")
def start_routers(context, count, domains):
    context.routers = SimulatedFleet(count, domains)


@given("they have exchanged status messages for {seconds:d} seconds")
@when("they have exchanged status messages for {seconds:d} seconds")
def exchange_status_messages(context, seconds):
    context.routers.run(seconds * 1_000)


@then("each failure domain has one leader, and all others receive changes from it")
def one_leader(context):
    fleet = context.routers
    for domain in fleet.domains:
        assert len(fleet.leaders(domain)) == 1, (domain, fleet.leaders(domain))
    followers = [each for each in fleet.routers if each.leadership.mode is MirrorMode.TOLD]
    assert len(followers) == len(fleet.routers) - len(fleet.domains)


@then("all routers choose the same primary for each account, one of the leaders")
def same_primary(context):
    fleet = context.routers
    chosen = {tuple(fleet.primaries(router)) for router in fleet.routers}
    assert len(chosen) == 1, chosen
    leaders = {each.name for domain in fleet.domains for each in fleet.leaders(domain)}
    assert set(chosen.pop()) <= leaders


@then("{count:d} of them lead")
def check_leader_count(context, count):
    fleet = context.routers
    assert len(fleet.leaders(fleet.domains[0])) == count


@when("one follower in each failure domain restarts on a larger instance")
def restart_on_larger(context):
    fleet = context.routers
    context.larger = {}
    for domain in fleet.domains:
        number, old = next(
            (number, each)
            for number, each in enumerate(fleet.routers)
            if each.members.own.failure_domain == domain and not each.members.leads
        )
        restarted = Router(old.name, domain, fleet.clock, capacity=552)
        restarted.members.update(
            Snapshot(tuple(fleet.record(each.members.own) for each in fleet.routers), 1)
        )
        fleet.routers[number] = restarted
        context.larger[domain] = restarted
    fleet.run(3_000)


@then("each failure domain is led by the larger instance, and by no other")
def larger_leads(context):
    fleet = context.routers
    for domain in fleet.domains:
        assert fleet.leaders(domain) == [context.larger[domain]], domain


@when('one leader "{trouble}"')
def leader_trouble(context, trouble):
    fleet = context.routers
    context.domain = fleet.domains[0]
    context.store_calls_before = sum(each.store_calls for each in fleet.routers)
    leader = fleet.leaders(context.domain)[0]
    if trouble == "loses the store":
        leader.reaches_store = False
    elif trouble == "stops":
        leader.members.leads = False
        fleet.send_status(leader)
        leader.running = False
    else:
        leader.running = False


@then("its failure domain is led by another router within {milliseconds:d} milliseconds")
def check_replaced(context, milliseconds):
    context.routers.run(milliseconds)
    assert len(context.routers.leaders(context.domain)) >= 1
    context.routers.run(1_000)
    assert len(context.routers.leaders(context.domain)) == 1


@then("few routers have called the store in between")
def check_few_calls(context):
    fleet = context.routers
    connected = [each for each in fleet.routers if each.running and each.reaches_store]
    calls = sum(each.store_calls for each in connected) - context.store_calls_before
    assert calls <= 3, calls


@when("the store answers no router for {seconds:d} seconds")
def interrupt_store(context, seconds):
    fleet = context.routers
    context.primaries_before = fleet.primaries(fleet.routers[0])
    for each in fleet.routers:
        each.reaches_store = False
    fleet.run(seconds * 1_000)
    context.primaries_during = {tuple(fleet.primaries(router)) for router in fleet.routers}
    for each in fleet.routers:
        each.reaches_store = True


@then("the primaries are the same as before")
def primaries_stay(context):
    assert context.primaries_during == {tuple(context.primaries_before)}, context.primaries_during


@then("each failure domain has one leader once the store is back")
def one_leader_again(context):
    context.routers.run(2_000)
    one_leader(context)


def item(key, revision):
    return StoreItem(key, b"{}", revision)


@given("a mirror that has all items up to revision 10")
def create_mirror(context):
    context.changes = []
    context.mirror = StoreMirror(
        None, "a/", SystemClock(), NullCounters(), context.changes.append, 20_000
    )
    context.mirror.apply_snapshot(Snapshot((item("a/1", 4), item("a/2", 9)), 10, 10))


@when("it receives a change after revision 10 and one after a revision that it does not have")
def receive_changes(context):
    mirror = context.mirror
    context.applied = [
        mirror.apply_changes(10, Changes((item("a/3", 14),), (Removal("a/1", 15),), 15)),
        mirror.apply_changes(18, Changes((item("a/4", 19),), (), 19)),
        mirror.apply_changes(9, Changes((item("a/2", 9),), (), 12)),
    ]


@then("it applies the first one, and rejects the second")
def check_first_applied(context):
    assert context.applied == [True, False, True], context.applied
    assert sorted(context.mirror.state.items) == ["a/2", "a/3"]
    assert context.mirror.state.revision == 15


class ListedStore:
    """A store whose list is as of revision 20 although its newest item is older; watches wait."""

    era = StoreEra()

    def list_items(self, prefix):
        return Snapshot((item("a/1", 4),), 20)

    def changes(self, prefix, since, wait_ms):
        return Changes((), (), since)


@given("a mirror of a store whose list is as of revision 20")
def listed_mirror(context):
    context.mirror = StoreMirror(
        ListedStore(), "a/", SystemClock(), NullCounters(), lambda state: None, 20_000
    )
    context.cleanup.callback(context.mirror.close)


@when("the mirror has read the list")
def read_list(context):
    context.mirror.start()
    assert eventually(lambda: context.mirror.state.revision)


@then("its newest change is revision 20")
def newest_change(context):
    assert context.mirror.state.changed_revision == 20, context.mirror.state


@given("a fleet of three gateways in one failure domain")
def start_three_gateways(context):
    start_gateways(context, routers=3)
    third = context.fleet.routers[2]
    assert eventually(lambda: third.find("domain.leader_heard")), third.lines


@when("a key is revoked and a replica is listed")
def revoke_key_and_list_replica(context):
    operator = context.fleet.operator
    context.version = operator.revoke("key-two")
    context.replica = context.fleet.add_replica("portal")


@then("all three apply both soon, and one of them has never led")
def check_both_applied(context):
    for router in context.fleet.routers:
        assert eventually(lambda: router.find("replica.listed", replica=context.replica.identity))  # noqa: B023
        assert eventually(lambda: router.find("configuration.applied", version=context.version))  # noqa: B023
    third = context.fleet.routers[2]
    assert third.find("domain.led") is None, third.lines


@when("the store sends no more data to the two leaders, and a key is revoked")
def mute_leaders_store(context):
    for router in context.fleet.routers[:2]:
        router.endpoint.fault = "mute"
    context.version = context.fleet.operator.revoke("key-two")


@then("the third router applies that version within 10 seconds")
def check_third_applied(context):
    third = context.fleet.routers[2]
    applied = eventually(lambda: third.find("configuration.applied", version=context.version), 10)
    assert applied, third.lines[-10:]


@given("a seed that receives messages")
def start_seed(context):
    context.received = []
    context.seed = DatagramPort(
        "127.0.0.1:0", NullCounters(), lambda message, _: context.received.append(message)
    )
    context.seed.start()
    context.cleanup.callback(context.seed.close)


@when("a router starts whose store does not answer, and has made four calls")
def start_without_store(context):
    fleet = context.fleet = Fleet(context.cleanup)
    endpoint = fleet.store.open_endpoint()
    endpoint.fault = "mute"
    fleet.peer_port = int(context.seed.address.rpartition(":")[2])
    fleet.add_router(ready=False, endpoint=endpoint, seeds=context.seed.address)
    assert eventually(lambda: endpoint.calls["POST /kv-txn"] >= 4)


@then("the seed has received at least six messages")
def check_messages_received(context):
    assert len(context.received) >= 6, context.received
