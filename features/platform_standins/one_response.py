"""A server that gives each request the same response."""

import socket
import threading

from platform_standins.replica import read_body, read_head


class OneResponseServer:
    """Answers each request with ``head`` and ``body`` and closes the connection."""

    def __init__(self, body=b""):
        self.body = body
        self.rewrite = lambda head: head
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
                read_body(reader, read_head(reader))
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.body)
                connection.sendall(self.rewrite(head) + self.body)
