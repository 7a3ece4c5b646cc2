"""The readiness endpoint that load balancers poll."""

from collections.abc import Callable, Iterable

from aspengate.serving import StartResponse, WsgiEnvironment

_READY = "200 OK"
_NOT_READY = "503 Service Unavailable"


class ReadyApplication:
    """A WSGI application that responds to every path with 200 if ``is_ready``, else 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(self, environ: WsgiEnvironment, start_response: StartResponse) -> Iterable[bytes]:
        """Respond to one readiness check."""
        status = _READY if self._is_ready() else _NOT_READY
        start_response(status, [("Content-Type", "text/plain"), ("Content-Length", "0")])
        return [b""]
