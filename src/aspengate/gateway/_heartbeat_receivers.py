"""Selects the routers that each heartbeat is sent to."""

import random
from collections import Counter

from aspengate.clock import Clock
from aspengate.peers import MIN_LEADERS, MemberList
from aspengate.topology import Distance

# Leaders send heartbeats to all routers; the others send theirs to the leaders and to this many
# random routers, so that each router is known to some. This keeps the message rate of a router
# independent of the fleet's size.
_RANDOM_RECEIVERS = 4
# Leaders are sent heartbeats for this time after their last one, in ms: ten heartbeat intervals.
_LEADER_TIMEOUT_MS = 3_000.0
# Minimum time between heartbeats to another region, in ms, so that every third one is sent there.
# Two may be lost before a router counts as dead.
_FAR_INTERVAL_MS = 850.0


class HeartbeatReceivers:
    """Selects the receivers of heartbeats.

    Traffic between regions is expensive, so that only leaders send every heartbeat to the leaders
    of other regions. The other heartbeats to another region are sent less often. All are sent
    while ``state`` changes, and while this router has not reported that the store contains what it
    knows: other routers wait for that report before they grant tokens again.
    """

    def __init__(self, members: MemberList, clock: Clock) -> None:
        self._members = members
        self._clock = clock
        self._state: object = None
        self._far_due_ms = float("-inf")

    def select(self, known: list[str], state: object, *, is_restored: bool) -> list[str]:
        """Return the addresses, of those ``known``, that the next heartbeat goes to."""
        receivers = self._usual(known)
        if not self._members.topology.has_other_regions:
            return receivers
        now = self._clock.monotonic_ms()
        if state != self._state or now >= self._far_due_ms or not is_restored:
            self._state = state
            self._far_due_ms = now + _FAR_INTERVAL_MS
            return receivers
        prompt = self._prompt_addresses()
        return [
            each
            for each in receivers
            if each in prompt or self._members.distance(each) is not Distance.OTHER_REGION
        ]

    def _usual(self, known: list[str]) -> list[str]:
        """Return the receivers without regard to regions."""
        if self._members.leads:
            return known
        leaders = {
            status.member.address
            for status in self._members.recent_statuses(_LEADER_TIMEOUT_MS)
            if status.leads
        }
        others = [each for each in known if each not in leaders]
        chosen = random.sample(others, min(_RANDOM_RECEIVERS, len(others)))
        return [*leaders, *chosen]

    def _prompt_addresses(self) -> set[str]:
        """Return the routers of other regions that get every heartbeat of this one.

        These are the leaders, and the routers of regions with so few leaders that reach the store
        that they depend on those of other regions.
        """
        if not self._members.leads:
            return set()
        region_of = self._members.topology.region_of
        statuses = self._members.recent_statuses(_LEADER_TIMEOUT_MS)
        leaders = [each for each in statuses if each.leads]
        counts = Counter(
            region_of(each.member.failure_domain) for each in leaders if each.reaches_store
        )
        return {each.member.address for each in leaders} | {
            each.address
            for each in self._members.known()
            if counts[region_of(each.failure_domain)] < MIN_LEADERS
        }
