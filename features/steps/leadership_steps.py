"""Steps on routers that lead their failure domain, and on those that rest meanwhile."""

from behave import given, then, when
from platform_standins import Fleet
from platform_standins.fleet import eventually

from aspengate.clock import ManualClock, SystemClock
from aspengate.peers import DatagramPort, DomainLeadership, Member, MemberList
from aspengate.store import Changes, MirrorMode, Removal, Snapshot, StoreEra, StoreItem, StoreMirror
from aspengate.telemetry import NullCounters
from gateway_world import start_gateways

BEAT_MS = 300
STEP_MS = 50


class Router:
    """One router's view of the others; its own watches are answered while ``reaches`` holds."""

    def __init__(self, name, domain, clock, capacity=128):
        self.name = name
        own = Member(name, f"10.0.0.1:{name}", f"{name}.{capacity}", domain, capacity)
        self.members = MemberList(own, clock)
        self.leadership = DomainLeadership(self.members, clock)
        self.reaches = True
        self.running = True
        self.asked = 0
        self.proven = False

    @property
    def connected(self):
        return self.proven or self.leadership.mode is MirrorMode.TOLD

    def look(self):
        before = self.leadership.mode
        self.leadership.update(connected=self.proven)
        if self.leadership.mode is not MirrorMode.FOLLOWING:
            self.proven = False
        elif before is not MirrorMode.FOLLOWING or not self.proven:
            self.asked += 1
            self.proven = self.reaches
        elif not self.reaches:
            self.proven = False


class Routers:
    """Routers that start together and tell each other of themselves, one beat after the other."""

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
                if router.running and (step + number) % (BEAT_MS // STEP_MS) == 0:
                    router.look()
                    self.tell(router)

    def tell(self, router):
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
            and each.proven
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
def routers(context, count, domains):
    context.routers = Routers(count, domains)


@given("they have told each other of themselves for {seconds:d} seconds")
@when("they have told each other of themselves for {seconds:d} seconds")
def told(context, seconds):
    context.routers.run(seconds * 1_000)


@then("each failure domain has one leader, and all others rest")
def one_leader(context):
    fleet = context.routers
    for domain in fleet.domains:
        assert len(fleet.leaders(domain)) == 1, (domain, fleet.leaders(domain))
    resting = [each for each in fleet.routers if each.leadership.mode is MirrorMode.TOLD]
    assert len(resting) == len(fleet.routers) - len(fleet.domains)


@then("all routers choose the same primary for each account, one of the leaders")
def same_primary(context):
    fleet = context.routers
    chosen = {tuple(fleet.primaries(router)) for router in fleet.routers}
    assert len(chosen) == 1, chosen
    leaders = {each.name for domain in fleet.domains for each in fleet.leaders(domain)}
    assert set(chosen.pop()) <= leaders


@then("{count:d} of them lead")
def so_many_lead(context, count):
    fleet = context.routers
    assert len(fleet.leaders(fleet.domains[0])) == count


@when("one that rests in each failure domain starts again on a larger instance")
def larger_starts(context):
    fleet = context.routers
    context.larger = {}
    for domain in fleet.domains:
        number, old = next(
            (number, each)
            for number, each in enumerate(fleet.routers)
            if each.members.own.failure_domain == domain and not each.members.leads
        )
        again = Router(old.name, domain, fleet.clock, capacity=552)
        again.members.update(
            Snapshot(tuple(fleet.record(each.members.own) for each in fleet.routers), 1)
        )
        fleet.routers[number] = again
        context.larger[domain] = again
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
    context.asked = sum(each.asked for each in fleet.routers)
    leader = fleet.leaders(context.domain)[0]
    if trouble == "lost the store":
        leader.reaches = False
    elif trouble == "stops":
        leader.members.leads = False
        fleet.tell(leader)
        leader.running = False
    else:
        leader.running = False


@then("its failure domain is led by another one within {milliseconds:d} milliseconds")
def led_again(context, milliseconds):
    context.routers.run(milliseconds)
    assert len(context.routers.leaders(context.domain)) >= 1
    context.routers.run(1_000)
    assert len(context.routers.leaders(context.domain)) == 1


@then("few routers have asked the store in between")
def few_asked(context):
    fleet = context.routers
    trying = [each for each in fleet.routers if each.running and each.reaches]
    asked = sum(each.asked for each in trying) - context.asked
    assert asked <= 3, asked


@when("the store answers nobody for {seconds:d} seconds")
def nobody(context, seconds):
    fleet = context.routers
    context.before = fleet.primaries(fleet.routers[0])
    for each in fleet.routers:
        each.reaches = False
    fleet.run(seconds * 1_000)
    context.meanwhile = {tuple(fleet.primaries(router)) for router in fleet.routers}
    for each in fleet.routers:
        each.reaches = True


@then("the primaries stay those that led")
def primaries_stay(context):
    assert context.meanwhile == {tuple(context.before)}, context.meanwhile


@then("each failure domain has one leader once the store is back")
def one_leader_again(context):
    context.routers.run(2_000)
    one_leader(context)


def item(key, revision):
    return StoreItem(key, b"{}", revision)


@given("a mirror that was told of all items up to revision 10")
def told_mirror(context):
    context.changes = []
    context.mirror = StoreMirror(
        None, "a/", SystemClock(), NullCounters(), context.changes.append, 20_000
    )
    context.mirror.apply_snapshot(Snapshot((item("a/1", 4), item("a/2", 9)), 10, 10))


@when("it is told of a change after revision 10 and of one that follows an unknown one")
def told_changes(context):
    mirror = context.mirror
    context.taken = [
        mirror.apply_changes(10, Changes((item("a/3", 14),), (Removal("a/1", 15),), 15)),
        mirror.apply_changes(18, Changes((item("a/4", 19),), (), 19)),
        mirror.apply_changes(9, Changes((item("a/2", 9),), (), 12)),
    ]


@then("it knows the first one, and fetches for the second")
def knows_first(context):
    assert context.taken == [True, False, True], context.taken
    assert sorted(context.mirror.state.items) == ["a/2", "a/3"]
    assert context.mirror.state.revision == 15


class ListedStore:
    """Its list is as of revision 20 though its newest item is older; watches wait."""

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


@when("it has listed the items")
def has_listed(context):
    context.mirror.start()
    assert eventually(lambda: context.mirror.state.revision)


@then("it counts revision 20 as its newest change")
def newest_change(context):
    assert context.mirror.state.changed_revision == 20, context.mirror.state


@given("a fleet of three gateways in one failure domain")
def three_gateways(context):
    start_gateways(context, routers=3)
    third = context.fleet.routers[2]
    assert eventually(lambda: third.find("domain.leader_heard")), third.lines


@when("a key is taken away and a replica is listed")
def key_and_replica(context):
    operator = context.fleet.operator
    context.version = operator.revoke("key-two")
    context.replica = context.fleet.add_replica("portal")


@then("all three know of both soon, and one of them watched nothing")
def know_both(context):
    for router in context.fleet.routers:
        assert eventually(lambda: router.find("replica.listed", replica=context.replica.identity))  # noqa: B023
        assert eventually(lambda: router.find("configuration.applied", version=context.version))  # noqa: B023
    third = context.fleet.routers[2]
    assert third.find("domain.led") is None, third.lines


@when("the store says nothing more to the two that lead, and a key is taken away")
def leaders_unheard(context):
    for router in context.fleet.routers[:2]:
        router.endpoint.fault = "mute"
    context.version = context.fleet.operator.revoke("key-two")


@then("the third one knows of it within 10 seconds")
def third_knows(context):
    third = context.fleet.routers[2]
    applied = eventually(lambda: third.find("configuration.applied", version=context.version), 10)
    assert applied, third.lines[-10:]


@given("a seed that listens")
def listening_seed(context):
    context.told = []
    context.seed = DatagramPort(
        "127.0.0.1:0", NullCounters(), lambda message, _: context.told.append(message)
    )
    context.seed.start()
    context.cleanup.callback(context.seed.close)


@when("a router starts whose store says nothing, and four of its calls are given up")
def unanswered(context):
    fleet = context.fleet = Fleet(context.cleanup)
    endpoint = fleet.store.open_endpoint()
    endpoint.fault = "mute"
    fleet.peer_port = int(context.seed.address.rpartition(":")[2])
    fleet.add_router(ready=False, endpoint=endpoint, seeds=context.seed.address)
    assert eventually(lambda: endpoint.calls["POST /kv-txn"] >= 4)


@then("the seed was told of it six times or more")
def told_often(context):
    assert len(context.told) >= 6, context.told
