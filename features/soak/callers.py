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
RECEIVE_BYTES = 65_536
# Method, path prefix and whether the request is a stream.
KINDS = (("GET", "/receipt", False), ("POST", "/status", False), ("POST", "/score", True))


@dataclasses.dataclass(frozen=True)
class CallerPlan:
    """What the callers of one process send.

    They connect to ``addresses`` in turn, beginning with the one at index ``first``. The pause
    between two requests is random, up to ``max_pause_s``. ``ends_s`` is a time of the monotonic
    clock. ``key`` and ``host`` are sent with each request.
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
    """One request and its end; ``sent_s`` is when its last byte was written.

    ``status`` is 0 if no head arrived. Times are of the monotonic clock, which all processes share.
    """

    request_id: str
    path: str
    address: str
    sent_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    is_complete: bool = False
    error: str = ""


class KeptCaller:
    """Sends one request after the other on a connection and opens the next one when it closes."""

    def __init__(self, number, plan, selector, record):
        self.number = number
        self.plan = plan
        self.selector = selector
        self.record = record
        self.random = random.Random(f"{plan.seed}/{plan.first}/{number}")
        self.target = plan.first
        self.sent = 0
        self.socket = None
        self.call = None
        self.due_s = time.monotonic() + plan.max_pause_s * self.random.random()

    def act(self, now_s):
        """Send the next request if it is due; give up one that gets no answer."""
        if self.call is not None:
            if now_s - self.call.sent_s > SILENCE_S:
                self.disconnect("silent")
        elif now_s >= self.due_s:
            self.send_request()

    def send_request(self):
        try:
            if self.socket is None:
                self.connect()
            self.write_request()
        except OSError as error:
            self.disconnect(repr(error))

    def connect(self):
        host, _, port = self.plan.addresses[self.target].rpartition(":")
        self.socket = socket.create_connection((host, int(port)), 1.0)
        self.protocol = h11.Connection(h11.CLIENT)
        self.selector.register(self.socket, selectors.EVENT_READ, self)

    def write_request(self):
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
        body = b"x" if method == "POST" else b""
        if body:
            headers.append(("Content-Length", str(len(body))))
        self.call = CallRecord(request_id, path, self.plan.addresses[self.target])
        request = h11.Request(method=method, target=path, headers=headers)
        data = self.protocol.send(request)
        if body:
            data += self.protocol.send(h11.Data(data=body))
        data += self.protocol.send(h11.EndOfMessage())
        self.call.sent_s = time.monotonic()
        self.socket.sendall(data)
        self.call.sent_s = time.monotonic()

    def read(self):
        """Read what has arrived, and end the request if that completes its answer."""
        try:
            data = self.socket.recv(RECEIVE_BYTES)
            if self.call is None:
                self.disconnect("closed while idle")
                return
            self.protocol.receive_data(data)
            self.read_events()
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
            if isinstance(event, h11.EndOfMessage):
                self.call.is_complete = True
                self.end_call("")
                return

    def end_call(self, error):
        call, self.call = self.call, None
        if call is not None:
            call.ended_s, call.error = time.monotonic(), error
            self.record(call)
        self.due_s = time.monotonic() + self.plan.max_pause_s * self.random.random()
        if self.socket is not None and not error:
            if self.protocol.our_state is h11.MUST_CLOSE:
                self.disconnect("")
            else:
                self.protocol.start_next_cycle()

    def disconnect(self, error):
        """Close the connection, end a request in progress and turn to the next address."""
        if self.socket is not None:
            self.selector.unregister(self.socket)
            self.socket.close()
            self.socket = None
        if self.call is not None:
            self.end_call(error or "closed")
        self.target = (self.target + 1) % len(self.plan.addresses)
        self.due_s = max(self.due_s, time.monotonic() + RECONNECT_S)


def run_callers(plan, record):
    """Run the callers of a plan until its end; ``record`` gets each request that has ended."""
    selector = selectors.DefaultSelector()
    callers = [KeptCaller(number, plan, selector, record) for number in range(plan.callers)]
    while time.monotonic() < plan.ends_s:
        for key, _ in selector.select(0.005):
            key.data.read()
        now_s = time.monotonic()
        for caller in callers:
            caller.act(now_s)


def main(plan_path, records_path):
    fields = json.loads(Path(plan_path).read_text(encoding="utf-8"))
    plan = CallerPlan(**{**fields, "addresses": tuple(fields["addresses"])})
    with open(records_path, "w", encoding="utf-8") as records:
        run_callers(plan, lambda call: records.write(json.dumps(vars(call)) + "\n"))


if __name__ == "__main__":
    main(*sys.argv[1:])
