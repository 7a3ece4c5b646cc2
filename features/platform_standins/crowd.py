"""Crowds of clients that hold on to a router's memory, threads and connections."""

import contextlib
import itertools
import threading

from platform_standins.client import Caller
from platform_standins.operator import HOST, KEY

LARGE_BODY_BYTES = 4 * 1024 * 1024
CHUNK_BYTES = 64 * 1024
DROP_PAUSE_S = 0.5
READ_BYTES = 4 * 1024
_DEADLINE_MS = 60_000
_PIPELINED_BYTES = 8_000
_HEAD_LINES = 1_400
_TRAILER_BYTES = 2 * 1024 * 1024
# Less than servers of the library accept without a limit of their own.
_LONG_HEAD_BYTES = 200 * 1024
_MAX_THREAD_START_S = 60.0

CLIENTS = {}
_numbers = itertools.count(1)


class Crowd:
    """Runs ``size`` clients of each kind, each in a thread, until ``leave``.

    A client is settled once it has sent what it sends, or has failed to.
    """

    def __init__(self, address, kinds, size):
        self.address = address
        self.leaving = threading.Event()
        self._settled = threading.Semaphore(0)
        self._threads = [
            threading.Thread(target=self._run, args=(CLIENTS[kind],), daemon=True)
            for kind in kinds
            for _ in range(size)
        ]
        for thread in self._threads:
            thread.start()

    def await_settled(self, timeout_s=_MAX_THREAD_START_S):
        """Wait until all clients have settled."""
        for _ in self._threads:
            assert self._settled.acquire(timeout=timeout_s), "a client does not settle"

    def leave(self):
        """Let all clients close their connections."""
        self.leaving.set()
        for thread in self._threads:
            thread.join(_MAX_THREAD_START_S)

    def _run(self, client):
        steps = iter(())
        with contextlib.suppress(OSError):
            caller = Caller(self.address)
            with contextlib.closing(caller):
                caller.socket.settimeout(10.0)
                with contextlib.suppress(OSError):
                    steps = client(caller)
                    # A client yields once it has settled, and then for each pause.
                    next(steps, None)
                self._settled.release()
                while not self.leaving.wait(DROP_PAUSE_S):
                    with contextlib.suppress(OSError):
                        next(steps, None)
            return
        self._settled.release()


def client(name):
    def register(function):
        CLIENTS[name] = function
        return function

    return register


def head(path, *lines, method="POST"):
    return "\r\n".join(
        [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: c{next(_numbers):015x}",
            f"X-Deadline-Ms: {_DEADLINE_MS}",
            f"Authorization: Token {KEY}",
            *lines,
            "",
            "",
        ]
    ).encode()


def chunks(body, size):
    """Return a body in chunks of a size, without the last chunk."""
    pieces = (body[start : start + size] for start in range(0, len(body), size))
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)


def with_length(body_bytes=LARGE_BODY_BYTES):
    return head("/receipt/large", f"Content-Length: {body_bytes}")


def in_chunks():
    return head("/receipt/large", "Transfer-Encoding: chunked")


BODY = b"x" * LARGE_BODY_BYTES
CHUNKED_BODY = chunks(BODY, CHUNK_BYTES)


@client("send large bodies with a length")
def send_large(caller):
    caller.raw(with_length() + BODY)
    yield


@client("send large bodies in chunks")
def send_large_chunked(caller):
    caller.raw(in_chunks() + CHUNKED_BODY + b"0\r\n\r\n")
    yield


@client("stop one byte short of the end of a large body")
def stop_short(caller):
    caller.raw(with_length() + BODY[:-1])
    yield


@client("send the end of a large body in drops")
def end_in_drops(caller):
    caller.raw(with_length() + BODY[:-100])
    yield
    while True:
        caller.raw(b"x")
        yield


@client("stop one byte short of the end of a chunked body")
def stop_short_chunked(caller):
    caller.raw(in_chunks() + CHUNKED_BODY[:-3])
    yield


@client("send chunked bodies with long trailers")
def send_long_trailers(caller):
    caller.raw(in_chunks() + b"0\r\n" + b"X-More: and more\r\n" * (_TRAILER_BYTES // 18))
    yield


@client("never read a long answer with a length")
def never_read(caller):
    caller.raw(head("/receipt/long", method="GET"))
    yield


def read_slowly(caller, request):
    caller.raw(request)
    yield
    while True:
        caller.socket.recv(READ_BYTES)
        yield


@client("read a long answer with a length slowly")
def read_long(caller):
    return read_slowly(caller, head("/receipt/long", method="GET"))


@client("read a long answer in chunks slowly")
def read_long_chunked(caller):
    return read_slowly(caller, head("/receipt/long-chunked", method="GET"))


@client("read a long stream slowly")
def read_stream(caller):
    engine = ("X-Model: m", "X-Token-Count: 10,10", "X-Prefix-Hash: a1:10", "Content-Length: 0")
    return read_slowly(caller, head("/review/long", *engine))


@client("wait for an event that has no end")
def wait_for_event(caller):
    engine = ("X-Model: m", "X-Token-Count: 10,10", "X-Prefix-Hash: a1:10", "Content-Length: 0")
    caller.raw(head("/review/part", *engine))
    yield


@client("send large bodies and read long answers slowly")
def send_large_and_read(caller):
    request = head("/receipt/long", f"Content-Length: {LARGE_BODY_BYTES}") + BODY
    return read_slowly(caller, request)


@client("send heads of thousands of lines")
def send_many_lines(caller):
    lines = (f"a{number}: 1" for number in range(_HEAD_LINES))
    caller.raw(head("/receipt/large", *lines, method="GET"))
    yield


@client("send hundreds of requests at once")
def send_pipelined(caller):
    request = b"GET / HTTP/1.1\r\n\r\n"
    caller.raw(request * (_PIPELINED_BYTES // len(request)))
    yield


@client("send a head in drops")
def head_in_drops(caller):
    request = head("/receipt/1", method="GET")
    for byte in request[:-4]:
        caller.raw(bytes([byte]))
        yield


@client("send a short body in drops")
def body_in_drops(caller):
    caller.raw(with_length(1_000))
    while True:
        caller.raw(b"x")
        yield


@client("stop one byte short of any head")
def stop_in_head(caller):
    caller.raw(head("/", "X-More: " + "x" * _LONG_HEAD_BYTES, method="GET")[:-1])
    yield


@client("send nothing")
def send_nothing(caller):
    yield
