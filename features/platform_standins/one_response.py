"""A server that gives each request the same response."""

import socket
import threading

from platform_standins.replica import RESET, read_body, read_head


class OneResponseServer:
    """Answers each request with status 200 and ``body`` and closes the connection.

    ``rewrite`` is a function of the head. With ``resets`` the response has no length and half of
    the body, and the connection is reset after it, also if the request has not been read.
    """

    def __init__(self, body=b""):
        self.body = body
        self.rewrite = lambda head: head
        self.resets = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._listener.close()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection, connection.makefile("rb") as reader:
                request = read_head(reader)
                if self.resets:
                    self._send_part_and_reset(connection)
                    continue
                read_body(reader, request)
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.body)
                connection.sendall(self.rewrite(head) + self.body)

    def _send_part_and_reset(self, connection):
        connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + self.body[: len(self.body) // 2])
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
