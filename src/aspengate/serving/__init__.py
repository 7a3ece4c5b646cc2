"""HTTP serving by waitress, for the daemons and the stand-ins."""

from aspengate.serving._server import StartResponse, WsgiApplication, WsgiEnvironment, WsgiServer

__all__ = ["StartResponse", "WsgiApplication", "WsgiEnvironment", "WsgiServer"]
