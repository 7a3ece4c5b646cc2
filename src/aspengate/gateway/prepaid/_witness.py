"""Makes another router witness the ceilings of this router's session.

A ceiling is the maximum number of tokens of an account that the session may use.
"""

import threading
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from aspengate.clock import Clock
from aspengate.peers import CeilingNotice, CeilingReply, Member
from aspengate.telemetry import Counters, log_change, supervised_thread

_REPEAT_INTERVAL_MS = 30.0
_REPLY_TIMEOUT_MS = 400.0
_AVOID_MS = 3_000.0
# If so many preferred routers were lost as witnesses within ``_AVOID_MS``, any other is chosen: the
# region that is preferred is probably cut off.
_MAX_LOST_PREFERRED = 2
_MAX_NOTICES = 64
_MAX_ACCOUNTS_PER_NOTICE = 500

OnAccepted = Callable[[str, Mapping[str, int]], None]


class Witness(Protocol):
    """Interface of the witness, which accepts this session's ceilings before they are used."""

    def request_ceiling(self, account: str, ceiling: int) -> None:
        """Request that the witness accept a higher ceiling, without waiting for it."""

    def ensure_ceiling(self, account: str, ceiling: int) -> tuple[str, int]:
        """Wait briefly for a ceiling; return the witness's session and the accepted ceiling.

        The session is empty if there is no witness or it did not accept in time.
        """

    def accepted_ceiling(self, account: str, witness: str) -> int:
        """Return the ceiling that ``witness`` accepted, 0 if it is not the current witness."""

    def close_session(self, session: str, witness: str) -> Mapping[str, int] | None:
        """Return the final ceilings of another router's session, None if they are unknown."""


class SessionList(Protocol):
    """Interface for the state of other routers' sessions, as known to this router."""

    def is_superseded(self, session: str) -> bool:
        """Return whether a message from another session of the same router has arrived."""

    def is_alive(self, session: str) -> bool:
        """Return whether a message from the session arrived recently."""

    def has_restored(self, session: str, era: int) -> bool:
        """Return whether the session reported that the store's history ``era`` is complete.

        That is, it contains everything that the session remembers.
        """


class NoWitness:
    """Implements ``Witness`` for a router without peers."""

    def request_ceiling(self, account: str, ceiling: int) -> None:
        """Do nothing."""

    def ensure_ceiling(self, account: str, ceiling: int) -> tuple[str, int]:
        """Return that there is no witness."""
        return "", 0

    def accepted_ceiling(self, account: str, witness: str) -> int:
        """Return 0: no ceiling is accepted."""
        return 0

    def close_session(self, session: str, witness: str) -> Mapping[str, int] | None:
        """Return None: no ceilings are known."""
        return None


@dataclass
class _Binding:
    """Holds the current witness with the ceilings that it accepted and those requested."""

    member: Member
    begun_ms: float
    accepted: dict[str, int] = field(default_factory=dict)
    requested: dict[str, int] = field(default_factory=dict)
    notices: OrderedDict[int, dict[str, int]] = field(default_factory=OrderedDict)

    def outstanding(self) -> dict[str, int]:
        """Return the requested ceilings that are higher than the accepted ones."""
        return {
            account: ceiling
            for account, ceiling in self.requested.items()
            if ceiling > self.accepted.get(account, -1)
        }


class RemoteWitness:
    """Keeps one other router as the witness, chosen from ``alive`` by hash to spread the load.

    ``preferred`` returns those of some routers that are chosen first.
    ``send`` sends a notice to an address; pass each reply received to ``handle_reply``.
    ``on_accepted`` is called with the witness's session and the ceilings that it accepted, and
    ``on_lost`` when the witness has become unresponsive or refused. ``ask_to_close`` asks the
    router with the session given first to close the session given second.
    """

    def __init__(
        self,
        session: str,
        clock: Clock,
        counters: Counters,
        *,
        alive: Callable[[], list[Member]],
        send: Callable[[CeilingNotice, str], None],
        ask_to_close: Callable[[str, str], Mapping[str, int] | None],
        preferred: Callable[[list[Member]], list[Member]] = lambda members: members,
    ) -> None:
        self.session = session
        self.on_accepted: OnAccepted = lambda *_: None
        self.on_lost: Callable[[], None] = lambda: None
        self._clock = clock
        self._counters = counters
        self._alive = alive
        self._send = send
        self._ask_to_close = ask_to_close
        self._preferred = preferred
        self._binding: _Binding | None = None
        self._avoided: dict[str, float] = {}
        self._closed: dict[tuple[str, str], Mapping[str, int]] = {}
        self._number = 0
        self._waiting_since_ms: float | None = None
        self._changed = threading.Condition()
        self._closing = False
        self._thread = supervised_thread(self._run, "witness", counters)

    def start(self) -> None:
        """Start the thread that sends ceilings."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread."""
        with self._changed:
            self._closing = True
            self._changed.notify_all()

    def request_ceiling(self, account: str, ceiling: int) -> None:
        """Request that the witness accept a higher ceiling, without waiting for it."""
        with self._changed:
            binding = self._bind()
            if binding is None or ceiling <= binding.requested.get(account, -1):
                return
            binding.requested[account] = ceiling
            self._changed.notify_all()

    def ensure_ceiling(self, account: str, ceiling: int) -> tuple[str, int]:
        """Wait briefly for a ceiling; return the witness's session and the accepted ceiling."""
        self.request_ceiling(account, ceiling)
        last = self._clock.monotonic_ms() + _REPLY_TIMEOUT_MS
        with self._changed:
            while True:
                binding = self._binding
                remaining = last - self._clock.monotonic_ms()
                if binding is None or remaining <= 0:
                    return "", 0
                if binding.accepted.get(account, -1) >= ceiling:
                    return binding.member.session, binding.accepted[account]
                self._changed.wait(remaining / 1_000)

    def accepted_ceiling(self, account: str, witness: str) -> int:
        """Return the ceiling that ``witness`` accepted, 0 if it is not the current witness."""
        with self._changed:
            binding = self._binding
            if binding is None or binding.member.session != witness:
                return 0
            return binding.accepted.get(account, 0)

    def close_session(self, session: str, witness: str) -> Mapping[str, int] | None:
        """Return the final ceilings of another router's session, None if they are unknown."""
        found = self._closed.get((session, witness))
        if found is None:
            found = self._ask_to_close(witness, session)
            if found is not None:
                self._closed[session, witness] = found
                log_change("witness.closed_session", session=session, witness=witness)
        return found

    def handle_reply(self, reply: CeilingReply) -> None:
        """Process a witness's reply."""
        with self._changed:
            binding = self._binding
            if (
                binding is None
                or reply.session != self.session
                or reply.number not in binding.notices
            ):
                return
            if not reply.accepted or reply.witness != binding.member.session:
                self._drop_witness(binding, "refused")
                accepted: dict[str, int] = {}
            else:
                accepted = binding.notices.pop(reply.number)
                self._waiting_since_ms = None
                for account, ceiling in accepted.items():
                    binding.accepted[account] = max(ceiling, binding.accepted.get(account, ceiling))
            self._changed.notify_all()
        if accepted:
            self.on_accepted(binding.member.session, accepted)
        else:
            self.on_lost()

    def _bind(self) -> _Binding | None:
        """Return the current binding, or create one if there is none; requires the lock."""
        if self._binding is None:
            member = self._choose()
            if member is not None:
                self._binding = _Binding(member, self._clock.monotonic_ms())
                self._waiting_since_ms = None
                log_change("witness.chosen", witness=member.session, address=member.address)
        return self._binding

    def _choose(self) -> Member | None:
        now = self._clock.monotonic_ms()
        alive = self._alive()
        preferred = self._preferred(alive)
        usable, usable_preferred = (
            [member for member in members if self._avoided.get(member.session, 0.0) <= now]
            for members in (alive, preferred)
        )
        lost = len(preferred) - len(usable_preferred)
        if usable_preferred and lost < _MAX_LOST_PREFERRED:
            usable = usable_preferred

        def weight(member: Member) -> int:
            return xxhash.xxh64_intdigest(f"{self.session}/{member.name}".encode())

        return max(usable, key=weight, default=None)

    def _drop_witness(self, binding: _Binding, reason: str) -> None:
        """Stop using a witness and avoid it for ``_AVOID_MS``; requires the lock."""
        self._binding = None
        self._waiting_since_ms = None
        self._avoided[binding.member.session] = self._clock.monotonic_ms() + _AVOID_MS
        self._counters.count("witness.lost")
        log_change("witness.lost", witness=binding.member.session, reason=reason)

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._closing:
                    return
                binding = self._binding
                outstanding = binding.outstanding() if binding else {}
                if binding is None or not outstanding:
                    self._changed.wait()
                    continue
                notice = self._make_notice(binding, outstanding)
                lost = notice is None
                self._changed.notify_all()
            if notice is None:
                self.on_lost()
            else:
                self._send(notice, binding.member.address)
            if not lost:
                self._wait_for_change(outstanding)

    def _make_notice(
        self, binding: _Binding, outstanding: Mapping[str, int]
    ) -> CeilingNotice | None:
        """Return the next notice, or None if the witness timed out; requires the lock."""
        now = self._clock.monotonic_ms()
        if self._waiting_since_ms is None:
            self._waiting_since_ms = now
        if now - self._waiting_since_ms > _REPLY_TIMEOUT_MS:
            self._drop_witness(binding, "silent")
            return None
        self._number += 1
        notified = dict(list(outstanding.items())[:_MAX_ACCOUNTS_PER_NOTICE])
        binding.notices[self._number] = notified
        while len(binding.notices) > _MAX_NOTICES:
            binding.notices.popitem(last=False)
        return CeilingNotice(self._number, self.session, binding.member.session, notified)

    def _wait_for_change(self, notified: Mapping[str, int]) -> None:
        """Wait until other ceilings are outstanding or the notice has to be repeated."""
        last = self._clock.monotonic_ms() + _REPEAT_INTERVAL_MS
        with self._changed:
            while not self._closing and self._binding is not None:
                remaining = last - self._clock.monotonic_ms()
                outstanding = self._binding.outstanding()
                if remaining <= 0 or not outstanding or outstanding != notified:
                    return
                self._changed.wait(remaining / 1_000)
