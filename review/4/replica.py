"""A replica; in windows, one in BROKEN_ONE_IN of its answers comes early and has no length.

``replica.py NAME BROKEN_ONE_IN``. Each line of its input is the length of a window in seconds, and
1 if those answers are also broken off in their middle by a reset of the connection. All others are
sent with a length, once the request's body has been read.
"""

import json
import socket
import struct
import sys
import threading
import time

RESET = struct.pack("ii", 1, 0)
BODY_BYTES = 800


def body_of(identity):
    """Return the whole body of the answer to a request."""
    return (identity + ".").encode() * (BODY_BYTES // (len(identity) + 1))


class Replica:
    def __init__(self, name, broken_one_in):
        self.name = name
        self.broken_one_in = broken_one_in
        self.breaks_until_s = 0.0
        self.breaks = False
        self.numbers = 0
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Packets and windows as on a link, not those of loopback.
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_448)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * 1024)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)

    def tell(self, **fields):
        with self.lock:
            print(json.dumps({"replica": self.name, **fields}), flush=True)

    def run(self):
        self.tell(address="127.0.0.1:%d" % self.listener.getsockname()[1])
        threading.Thread(target=self._follow_orders, daemon=True).start()
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _follow_orders(self):
        for line in sys.stdin:
            seconds, breaks = line.split()
            self.breaks = breaks == "1"
            self.numbers = 0
            self.breaks_until_s = time.monotonic() + float(seconds)

    def _serve(self, connection):
        try:
            self._answer(connection)
        except OSError:
            pass
        finally:
            connection.close()

    def _answer(self, connection):
        head = b""
        while b"\r\n\r\n" not in head:
            data = connection.recv(2048)
            if not data:
                return
            head += data
        lines = head.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")
        fields = {k.lower(): v.strip() for k, _, v in (each.partition(":") for each in lines[1:])}
        identity = fields["x-request-id"]
        if fields.get("x-expect-instance") != self.name:
            connection.sendall(
                f"HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {identity}\r\n"
                f"X-Instance-Id: {self.name}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return
        with self.lock:
            self.numbers += 1
            is_early = (
                time.monotonic() < self.breaks_until_s and self.numbers % self.broken_one_in == 0
            )
        whole = body_of(identity)
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {identity}",
            f"X-Server-Stamp: {self.name}.{self.numbers}",
            "Connection: close",
        ]
        if not is_early:
            length = int(fields.get("content-length") or 0)
            missing = length - len(head.partition(b"\r\n\r\n")[2])
            while missing > 0:
                data = connection.recv(65536)
                if not data:
                    return
                missing -= len(data)
            lines.append(f"Content-Length: {len(whole)}")
        answer = "\r\n".join([*lines, "", ""]).encode()
        if is_early and self.breaks:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            connection.sendall(answer + whole[: len(whole) // 2])
            connection.close()
            self.tell(run=identity, broken=True, early=True)
            return
        connection.sendall(answer + whole)
        connection.shutdown(socket.SHUT_WR)
        self.tell(run=identity, broken=False, early=is_early)
        while connection.recv(65536):
            pass


if __name__ == "__main__":
    Replica(sys.argv[1], int(sys.argv[2])).run()
