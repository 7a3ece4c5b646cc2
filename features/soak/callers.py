"""Callers on kept connections, in a process of their own so that its times are not late.

python -m soak.callers PLAN.json RECORDS.jsonl
"""

import dataclasses
import json
import random
import selectors
import socket
import sys
import time
from pathlib import Path

import h11

# A request ends without an answer if nothing arrives for this long.
SILENCE_S = 20.0
RECONNECT_S = 0.05
CONNECT_TIMEOUT_S = 1.0
POLL_S = 0.005
RECEIVE_BYTES = 65_536
# Every fourth caller sends the bodies of its requests in parts with random pauses, and every
# fourth one has its connection idle for some time before each request.
STYLES = ("plain", "parts", "idle", "plain")
PART_COUNT, PART_BYTES = 3, 300
MAX_PART_PAUSE_S = 0.3
IDLE_S = (0.5, 3.0)
# Method, path prefix and whether the request is a stream.
KINDS = (("GET", "/receipt", False), ("POST", "/status", False), ("POST", "/score", True))


@dataclasses.dataclass(frozen=True)
class CallerPlan:
    """What the callers of one process send.

    They connect to ``addresses`` in turn, beginning with the one at index ``first``. The pause
    between two requests is random, up to ``max_pause_s`` except for callers of style "idle".
    ``ends_s`` is a time of the monotonic clock. ``key`` and ``host`` are sent with each request.
    """

    addresses: tuple
    first: int
    callers: int
    seed: int
    ends_s: float
    max_pause_s: float
    deadline_ms: int
    host: str
    key: str


@dataclasses.dataclass
class CallRecord:
    """One request and its end.

    ``began_s`` is just before its first byte was written and ``sent_s`` just before its last one,
    or 0 if it was not written completely. ``status`` is 0 if no head arrived. Times are of the
    monotonic clock, which all processes share.
    """

    request_id: str
    path: str
    address: str
    began_s: float = 0.0
    sent_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    is_complete: bool = False
    error: str = ""


class KeptCaller:
    """Sends one request after the other on a connection and opens the next one when it closes."""

    def __init__(self, number, plan, selector, record):
        self.number = number
        self.style = STYLES[number % len(STYLES)]
        self.plan = plan
        self.selector = selector
        self.record = record
        self.random = random.Random(f"{plan.seed}/{plan.first}/{number}")
        self.target = plan.first
        self.sent = 0
        self.socket = None
        self.opened_s = 0.0
        self.call = None
        self.unsent = []
        self.part_due_s = 0.0
        self.is_framed = True
        self.due_s = time.monotonic() + self.draw_pause_s()

    def draw_pause_s(self):
        if self.style == "idle":
            return self.random.uniform(*IDLE_S)
        return self.plan.max_pause_s * self.random.random()

    def act(self, now_s, may_begin):
        """Begin the next request if it is due; give up one that gets no answer."""
        try:
            if self.call is None:
                if may_begin and now_s >= self.due_s:
                    self.begin_request()
            elif self.unsent:
                if now_s >= self.part_due_s:
                    self.send()
            elif now_s - self.call.sent_s > SILENCE_S:
                self.disconnect("silent")
        except OSError as error:
            self.disconnect(repr(error))

    def begin_request(self):
        if self.socket is None:
            self.connect()
        self.unsent = self.make_request()
        self.send()

    def connect(self):
        """Start to connect; a call that waited for it would make the times of all callers late."""
        host, _, port = self.plan.addresses[self.target].rpartition(":")
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex((host, int(port)))
        self.opened_s = time.monotonic()
        self.protocol = h11.Connection(h11.CLIENT)
        self.selector.register(self.socket, selectors.EVENT_READ, self)

    def send(self):
        """Send what the connection takes of the part that is due."""
        now_s = time.monotonic()
        try:
            count = self.socket.send(self.unsent[0])
        except BlockingIOError:
            if not self.call.began_s and now_s - self.opened_s > CONNECT_TIMEOUT_S:
                self.disconnect("not connected")
            return
        self.call.began_s = self.call.began_s or now_s
        self.unsent[0] = self.unsent[0][count:]
        if not self.unsent[0]:
            self.unsent.pop(0)
            self.part_due_s = now_s + MAX_PART_PAUSE_S * self.random.random()
        if not self.unsent:
            self.call.sent_s = now_s

    def make_request(self):
        """Return the parts of the next request, which becomes the call in progress."""
        method, prefix, is_stream = self.random.choice(KINDS)
        self.sent += 1
        request_id = f"{self.plan.first:02x}{self.number:04x}{self.sent:010x}"
        path = f"{prefix}/{request_id}"
        headers = [
            ("Host", self.plan.host),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", str(self.plan.deadline_ms)),
            ("Authorization", f"Token {self.plan.key}"),
        ]
        if is_stream:
            headers += [
                ("X-Model", "m"),
                ("X-Token-Count", "400,60"),
                ("X-Prefix-Hash", f"{request_id}:400"),
            ]
        parts = [] if method == "GET" else [b"x"]
        if parts and self.style == "parts":
            parts = [b"x" * PART_BYTES] * PART_COUNT
        if parts:
            headers.append(("Content-Length", str(sum(map(len, parts)))))
        self.call = CallRecord(request_id, path, self.plan.addresses[self.target])
        request = h11.Request(method=method, target=path, headers=headers)
        head = self.protocol.send(request)
        sent = [self.protocol.send(h11.Data(data=part)) for part in parts]
        self.protocol.send(h11.EndOfMessage())
        return [head, *sent] if self.style == "parts" else [b"".join([head, *sent])]

    def read(self):
        """Read what has arrived, and end the request if that completes its answer."""
        try:
            data = self.socket.recv(RECEIVE_BYTES)
            if self.call is None:
                self.disconnect("closed while idle")
                return
            self.protocol.receive_data(data)
            self.read_events()
        except BlockingIOError:
            pass
        except (OSError, h11.ProtocolError) as error:
            self.disconnect(repr(error))

    def read_events(self):
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self.disconnect("closed")
                return
            if isinstance(event, h11.Response):
                self.call.status = event.status_code
                names = {name for name, _ in event.headers}
                self.is_framed = bool(names & {b"content-length", b"transfer-encoding"})
            if isinstance(event, h11.EndOfMessage):
                # An answer that ends with its connection is not known to be complete.
                self.call.is_complete = self.is_framed
                self.end_call("")
                return

    def end_call(self, error):
        call, self.call = self.call, None
        call.ended_s, call.error = time.monotonic(), error
        if call.began_s:
            self.record(call)
        self.due_s = time.monotonic() + self.draw_pause_s()
        if error:
            return
        # An answer may come before the end of its request; such a connection cannot be kept.
        if self.unsent or self.protocol.our_state is not h11.DONE:
            self.disconnect("")
        else:
            self.protocol.start_next_cycle()

    def disconnect(self, error):
        """Close the connection, end a request in progress and turn to the next address."""
        if self.socket is not None:
            self.selector.unregister(self.socket)
            self.socket.close()
            self.socket = None
        self.unsent = []
        if self.call is not None:
            self.end_call(error or "closed")
        self.target = (self.target + 1) % len(self.plan.addresses)
        self.due_s = max(self.due_s, time.monotonic() + RECONNECT_S)


def run_callers(plan, record):
    """Run the callers of a plan; ``record`` gets each request that has ended.

    After the end of the plan no request begins, but those in progress are read to their end: one
    that gets no answer must not go unnoticed. Returns the longest time for which no connection was
    read: times in the records may be late by that much.
    """
    selector = selectors.DefaultSelector()
    callers = [KeptCaller(number, plan, selector, record) for number in range(plan.callers)]
    late_s, read_s = 0.0, time.monotonic()
    while read_s < plan.ends_s or any(caller.call for caller in callers):
        for key, _ in selector.select(POLL_S):
            key.data.read()
        now_s = time.monotonic()
        late_s, read_s = max(late_s, now_s - read_s), now_s
        for caller in callers:
            caller.act(now_s, now_s < plan.ends_s)
    return late_s


def main(plan_path, records_path):
    fields = json.loads(Path(plan_path).read_text(encoding="utf-8"))
    plan = CallerPlan(**{**fields, "addresses": tuple(fields["addresses"])})
    with open(records_path, "w", encoding="utf-8") as records:
        late_s = run_callers(plan, lambda call: records.write(json.dumps(vars(call)) + "\n"))
    print(f"{late_s:.3f}")


if __name__ == "__main__":
    main(*sys.argv[1:])
