"""Finds out whether a process still listens at an address."""

import enum
import select
import socket

from aspengate.clock import Clock

# For how long after the first connection a listener may still turn out to be closing. The kernel
# closes the sockets of an ended process one after the other, the listener often last: in 400 kills
# of processes with up to 50 connections, it accepted others for up to 7 ms after one had ended.
_CLOSING_MS = 100.0
# Pauses between connections grow from this time by a factor of 2.
_FIRST_PAUSE_MS = 1.0


class ListenerState(enum.Enum):
    """What connections to an address show."""

    LISTENING = "listening"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


class ListenerProbe:
    """Opens connections to an address until it is clear whether a process listens there."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock

    def probe(self, address: str, timeout_ms: float) -> ListenerState:
        """Return the state of the listener; UNREACHABLE if nothing responds in ``timeout_ms``.

        A shorter time than ``_CLOSING_MS`` counts as that, and half of it goes to one connection.
        An accepted connection alone shows nothing, since the kernel accepts it on behalf of a
        process that is suspended or being ended. The probe closes its sending side at once. A
        running server reads that and closes the connection, which ends the probe. A connection
        that is reset belonged to a listener that was closed, or exceeded the limit of a running
        server: the next one is refused in the first case. A server that does neither for
        ``_CLOSING_MS`` listens.
        """
        begun_ms = self.clock.monotonic_ms()
        closed_by_ms = begun_ms + _CLOSING_MS
        timeout_ms = max(timeout_ms, _CLOSING_MS)
        end_ms = begun_ms + timeout_ms
        pause_ms = _FIRST_PAUSE_MS
        while True:
            left_ms = end_ms - self.clock.monotonic_ms()
            state = self._connect(address, min(left_ms, timeout_ms / 2), closed_by_ms)
            if state in (ListenerState.LISTENING, ListenerState.REFUSED):
                return state
            unclear_until_ms = closed_by_ms if state is None else end_ms
            left_ms = unclear_until_ms - self.clock.monotonic_ms()
            if left_ms <= 0:
                return state or ListenerState.LISTENING
            self.clock.sleep_ms(min(pause_ms, left_ms))
            pause_ms *= 2

    def _connect(
        self, address: str, timeout_ms: float, closed_by_ms: float
    ) -> ListenerState | None:
        """Return what one connection shows; None if it was reset."""
        host, _, port = address.rpartition(":")
        try:
            connected = socket.create_connection((host, int(port)), max(0.001, timeout_ms / 1_000))
        except ConnectionRefusedError:
            return ListenerState.REFUSED
        except ConnectionResetError:
            return None
        except OSError:
            return ListenerState.UNREACHABLE
        with connected:
            try:
                connected.shutdown(socket.SHUT_WR)
                poller = select.poll()
                poller.register(connected, select.POLLIN)
                if poller.poll(max(0.0, closed_by_ms - self.clock.monotonic_ms())):
                    connected.recv(1)
            except OSError:
                return None
        return ListenerState.LISTENING
