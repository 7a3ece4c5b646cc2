"""Has another router witness the most that this one's session may use of each account."""

import threading
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from aspengate.clock import Clock
from aspengate.peers import CeilingNotice, CeilingReply, Member
from aspengate.telemetry import Counters, lasting_thread, log_change

_REPEAT_MS = 30.0
_LOST_MS = 400.0
_AVOIDED_MS = 3_000.0
_MOST_NOTICES = 64
_ACCOUNTS_A_NOTICE = 500

OnAccepted = Callable[[str, Mapping[str, int]], None]


class Witness(Protocol):
    """Who is told this session's ceilings before they are used."""

    def request_ceiling(self, account: str, ceiling: int) -> None:
        """Have a higher ceiling accepted as soon as may be."""

    def ensure_ceiling(self, account: str, ceiling: int) -> tuple[str, int]:
        """Wait shortly for a ceiling; return the witness's session with what it has accepted.

        The session is empty where there is no witness.
        """

    def accepted_ceiling(self, account: str, witness: str) -> int:
        """Return what ``witness`` has accepted, 0 where it is not the present witness."""

    def close_session(self, session: str, witness: str) -> Mapping[str, int] | None:
        """Return the final ceilings of a session of another run, None where they are unknown."""


class SessionList(Protocol):
    """Which sessions run, as far as this router hears."""

    def is_superseded(self, session: str) -> bool:
        """Return whether the session's router was heard in another run."""

    def is_alive(self, session: str) -> bool:
        """Return whether the session was heard of lately."""

    def has_restored(self, session: str, era: int) -> bool:
        """Return whether the session says that the store's history ``era`` holds all it knows."""


class NoWitness:
    """Stands in where a router has no peers."""

    def request_ceiling(self, account: str, ceiling: int) -> None:
        """Do nothing."""

    def ensure_ceiling(self, account: str, ceiling: int) -> tuple[str, int]:
        """Return that there is no witness."""
        return "", 0

    def accepted_ceiling(self, account: str, witness: str) -> int:
        """Return that nothing was accepted."""
        return 0

    def close_session(self, session: str, witness: str) -> Mapping[str, int] | None:
        """Return that nothing is known."""
        return None


@dataclass
class _Bond:
    """The present witness with what it has accepted, and what is still wanted of it."""

    member: Member
    begun_ms: float
    accepted: dict[str, int] = field(default_factory=dict)
    wanted: dict[str, int] = field(default_factory=dict)
    notices: OrderedDict[int, dict[str, int]] = field(default_factory=OrderedDict)

    def open_wants(self) -> dict[str, int]:
        """Return what is wanted beyond what is accepted."""
        return {
            account: ceiling
            for account, ceiling in self.wanted.items()
            if ceiling > self.accepted.get(account, -1)
        }


class RemoteWitness:
    """Keeps one other router as witness, chosen among ``alive`` by hash so that load spreads.

    ``send`` sends a notice to an address; ``handle_reply`` is to be called with each answer.
    ``on_accepted`` is called with a witness's session and the ceilings that it accepted, and
    ``on_lost`` once a witness does not answer any more. ``ask_to_close`` asks a router by its
    session to close another session.
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
    ) -> None:
        self.session = session
        self.on_accepted: OnAccepted = lambda *_: None
        self.on_lost: Callable[[], None] = lambda: None
        self._clock = clock
        self._counters = counters
        self._alive = alive
        self._send = send
        self._ask_to_close = ask_to_close
        self._bond: _Bond | None = None
        self._avoided: dict[str, float] = {}
        self._closed: dict[tuple[str, str], Mapping[str, int]] = {}
        self._number = 0
        self._waiting_since: float | None = None
        self._changed = threading.Condition()
        self._closing = False
        self._thread = lasting_thread(self._run, "witness", counters)

    def start(self) -> None:
        """Begin to tell ceilings."""
        self._thread.start()

    def close(self) -> None:
        """Stop."""
        with self._changed:
            self._closing = True
            self._changed.notify_all()

    def request_ceiling(self, account: str, ceiling: int) -> None:
        """Have a higher ceiling accepted as soon as may be."""
        with self._changed:
            bond = self._bonded()
            if bond is None or ceiling <= bond.wanted.get(account, -1):
                return
            bond.wanted[account] = ceiling
            self._changed.notify_all()

    def ensure_ceiling(self, account: str, ceiling: int) -> tuple[str, int]:
        """Wait shortly for a ceiling; return the witness's session with what it has accepted."""
        self.request_ceiling(account, ceiling)
        last = self._clock.monotonic_ms() + _LOST_MS
        with self._changed:
            while True:
                bond = self._bond
                remaining = last - self._clock.monotonic_ms()
                if bond is None or remaining <= 0:
                    return "", 0
                if bond.accepted.get(account, -1) >= ceiling:
                    return bond.member.session, bond.accepted[account]
                self._changed.wait(remaining / 1_000)

    def accepted_ceiling(self, account: str, witness: str) -> int:
        """Return what ``witness`` has accepted, 0 where it is not the present witness."""
        with self._changed:
            bond = self._bond
            if bond is None or bond.member.session != witness:
                return 0
            return bond.accepted.get(account, 0)

    def close_session(self, session: str, witness: str) -> Mapping[str, int] | None:
        """Return the final ceilings of a session of another run, None where they are unknown."""
        found = self._closed.get((session, witness))
        if found is None:
            found = self._ask_to_close(witness, session)
            if found is not None:
                self._closed[session, witness] = found
                log_change("witness.closed_session", session=session, witness=witness)
        return found

    def handle_reply(self, reply: CeilingReply) -> None:
        """Take a witness's answer."""
        with self._changed:
            bond = self._bond
            if bond is None or reply.session != self.session or reply.number not in bond.notices:
                return
            if not reply.accepted or reply.witness != bond.member.session:
                self._lose(bond, "refused")
                accepted: dict[str, int] = {}
            else:
                accepted = bond.notices.pop(reply.number)
                self._waiting_since = None
                for account, ceiling in accepted.items():
                    bond.accepted[account] = max(ceiling, bond.accepted.get(account, ceiling))
            self._changed.notify_all()
        if accepted:
            self.on_accepted(bond.member.session, accepted)
        else:
            self.on_lost()

    def _bonded(self) -> _Bond | None:
        """Return the bond, a new one where there is none; call it with the lock held."""
        if self._bond is None:
            member = self._choose()
            if member is not None:
                self._bond = _Bond(member, self._clock.monotonic_ms())
                self._waiting_since = None
                log_change("witness.chosen", witness=member.session, address=member.address)
        return self._bond

    def _choose(self) -> Member | None:
        now = self._clock.monotonic_ms()
        usable = [
            member for member in self._alive() if self._avoided.get(member.session, 0.0) <= now
        ]

        def weight(member: Member) -> int:
            return xxhash.xxh64_intdigest(f"{self.session}/{member.name}".encode())

        return max(usable, key=weight, default=None)

    def _lose(self, bond: _Bond, reason: str) -> None:
        """Part with a witness; call it with the lock held."""
        self._bond = None
        self._waiting_since = None
        self._avoided[bond.member.session] = self._clock.monotonic_ms() + _AVOIDED_MS
        self._counters.count("witness.lost")
        log_change("witness.lost", witness=bond.member.session, reason=reason)

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._closing:
                    return
                bond = self._bond
                wants = bond.open_wants() if bond else {}
                if bond is None or not wants:
                    self._changed.wait()
                    continue
                notice = self._notice(bond, wants)
                lost = notice is None
                self._changed.notify_all()
            if notice is None:
                self.on_lost()
            else:
                self._send(notice, bond.member.address)
            if not lost:
                self._pause(wants)

    def _notice(self, bond: _Bond, wants: Mapping[str, int]) -> CeilingNotice | None:
        """Return what to tell a witness; None where it is lost. Call it with the lock held."""
        now = self._clock.monotonic_ms()
        if self._waiting_since is None:
            self._waiting_since = now
        if now - self._waiting_since > _LOST_MS:
            self._lose(bond, "silent")
            return None
        self._number += 1
        told = dict(list(wants.items())[:_ACCOUNTS_A_NOTICE])
        bond.notices[self._number] = told
        while len(bond.notices) > _MOST_NOTICES:
            bond.notices.popitem(last=False)
        return CeilingNotice(self._number, self.session, bond.member.session, told)

    def _pause(self, told: Mapping[str, int]) -> None:
        """Wait until something else is wanted, or until a notice is to be repeated."""
        last = self._clock.monotonic_ms() + _REPEAT_MS
        with self._changed:
            while not self._closing and self._bond is not None:
                remaining = last - self._clock.monotonic_ms()
                wants = self._bond.open_wants()
                if remaining <= 0 or not wants or wants != told:
                    return
                self._changed.wait(remaining / 1_000)
