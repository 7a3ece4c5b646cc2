"""A client that controls the bytes of its requests and reads responses completely."""

import itertools
import socket
import struct
import time

from platform_standins.operator import HOST, KEY

_numbers = itertools.count(1)


class Answer:
    """A response; ``whole`` tells whether it is complete by its own framing."""

    def __init__(self, status, headers, body, whole, seconds):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole
        self.seconds = seconds

    def header(self, name):
        found = [value for key, value in self.headers if key.lower() == name.lower()]
        return found[0] if found else ""

    @property
    def event_ids(self):
        lines = self.body.decode("latin-1").splitlines()
        return [int(line[3:]) for line in lines if line.startswith("id:")]

    @property
    def event_versions(self):
        """The versions of the replicas that the events come from."""
        lines = self.body.decode("latin-1").splitlines()
        return {line.rpartition(" ")[2] for line in lines if line.startswith("data:")}


class Caller:
    """A connection to a router."""

    def __init__(self, address, timeout_s=20.0):
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), timeout_s)
        self.reader = self.socket.makefile("rb")

    def request(self, method, path, **fields):
        """Send a request and read its response."""
        self.send(method, path, **fields)
        return self.read()

    def send(
        self,
        method,
        path,
        *,
        body=b"",
        key=KEY,
        deadline_ms=4_000,
        tokens=None,
        parts="",
        identity=None,
        headers=(),
        host=HOST,
        chunked=False,
        version="1.1",
    ):
        """Send a request; return its id."""
        identity = identity or f"{next(_numbers):016x}"
        lines = [f"{method} {path} HTTP/{version}", f"Host: {host}", f"X-Request-Id: {identity}"]
        if deadline_ms is not None:
            lines.append(f"X-Deadline-Ms: {deadline_ms}")
        if key:
            lines.append(f"Authorization: Token {key}")
        if tokens:
            lines += ["X-Model: m", f"X-Token-Count: {tokens[0]},{tokens[1]}"]
            lines.append(f"X-Prefix-Hash: {parts or f'a1:{tokens[0]}'}")
        lines += headers
        if chunked:
            lines.append("Transfer-Encoding: chunked")
            half = len(body) // 2
            data = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in (body[:half], body[half:]) if p)
            data += b"0\r\n\r\n"
        else:
            data = body
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
        self.socket.sendall("\r\n".join([*lines, "", ""]).encode("latin-1") + data)
        return identity

    def raw(self, data):
        """Send raw bytes."""
        self.socket.sendall(data)

    def read(self):
        """Read one response; ``whole`` is false if its end is missing."""
        started_s = time.monotonic()
        status, headers = self.read_head()
        body, whole = b"", True
        answer = Answer(status, headers, body, whole, 0.0)
        try:
            if answer.header("Transfer-Encoding") == "chunked":
                answer.body, answer.whole = self._chunks()
            elif answer.header("Content-Length"):
                length = int(answer.header("Content-Length"))
                answer.body = self.reader.read(length)
                answer.whole = len(answer.body) == length
            else:
                answer.body = self.reader.read()
        except OSError:
            answer.whole = False
        answer.seconds = time.monotonic() - started_s
        return answer

    def read_head(self):
        line = self.reader.readline().decode("latin-1")
        if not line:
            raise ConnectionError("closed without an answer")
        status = int(line.split(" ")[1])
        headers = []
        while (line := self.reader.readline().decode("latin-1").strip()) != "":
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
        return status, headers

    def _chunks(self):
        body = b""
        while True:
            line = self.reader.readline()
            if not line:
                return body, False
            size = int(line, 16)
            data = self.reader.read(size + 2)
            if len(data) < size + 2:
                return body + data, False
            if size == 0:
                return body, True
            body += data[:-2]

    def read_events(self, count):
        """Read the head of a stream and ``count`` events; return the status and their versions.

        For a response that is not a stream, it returns no versions and reads nothing further.
        """
        status, headers = self.read_head()
        if "text/event-stream" not in dict(headers).values():
            return status, set()
        body = b""
        while body.count(b"\n\n") < count:
            size = int(self.reader.readline() or b"0", 16)
            if not size:
                break
            body += self.reader.read(size + 2)[:-2]
        return status, Answer(status, headers, body, False, 0.0).event_versions

    def is_closed(self, within_s=2.0):
        """Return whether the router closes the connection without sending more."""
        self.socket.settimeout(within_s)
        try:
            return self.reader.read(1) == b""
        except TimeoutError:
            return False
        except OSError:
            return True

    def reset(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self):
        self.reader.close()
        self.socket.close()
