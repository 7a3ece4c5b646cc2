"""A simulated fleet whose routers count each other as gateways do."""

import msgspec

from aspengate.peers import MEMBER_PREFIX, Member, MemberList
from aspengate.retries import SharedRetryBudget
from aspengate.store import Snapshot, StoreItem
from machine_clock import MachineClock
from retry_fleet import POLICY, Fleet


class RegisteredFleet(Fleet):
    """A fleet of which each router is registered in the store and leads its failure domain.

    A router that stops withdraws its record; the others know of it as long as gateways do. What a
    process has sent arrives late if its machine is suspended, also after the end of the process.
    """

    def __init__(self, size):
        self.machines, self.members, self.unaware = {}, {}, set()
        super().__init__(size)

    def clock_of(self, number):
        if number not in self.machines:
            self.machines[number] = MachineClock(self.clock)
        return self.machines[number]

    def start(self, number, *, knows_count=True):
        own = Member(f"router-{number}", f"router-{number}:1", f"{self.clock.now_ms()}")
        self.members[number] = MemberList(own, self.clock_of(number))
        budget = SharedRetryBudget(POLICY, self.clock_of(number))
        if knows_count:
            self.unaware.discard(number)
            self._exchange_status(number, budget)
        else:
            self.unaware.add(number)
        return budget

    def kill(self, number):
        self.exchange_statuses()
        super().kill(number)

    def advance(self, duration_ms):
        self.exchange_statuses()
        super().advance(duration_ms)
        self.exchange_statuses()

    def announce_count(self):
        self.unaware.clear()
        self.exchange_statuses()

    def suspend(self, number, duration_ms):
        """Suspend a machine; whatever is in flight from it is sent after it has resumed."""
        machine = self.clock_of(number)
        machine.suspend(duration_ms)
        self.in_flight = [
            (max(due_ms, machine.until_ms) if each == number else due_ms, each, budget)
            for due_ms, each, budget in self.in_flight
        ]

    def exchange_statuses(self):
        for number, budget in enumerate(self.budgets):
            if budget is not None and number not in self.unaware:
                self._exchange_status(number, budget)

    def _exchange_status(self, number, budget):
        """Have a router read the list and the status messages, unless its machine is suspended."""
        if self.clock_of(number).is_suspended:
            return
        members = self.members[number]
        running = [each for each, other in enumerate(self.budgets) if other is not None]
        items = tuple(self._record(each) for each in {*running, number})
        members.update(Snapshot(items, 1))
        for each in running:
            if not self.clock_of(each).is_suspended:
                other = self.members[each]
                members.record_status(other.own, leads=True, listed=other.own_count)
        budget.set_router_count(members.count)

    def _record(self, number):
        own = self.members[number].own
        return StoreItem(MEMBER_PREFIX + own.name, msgspec.json.encode(own), 1)
