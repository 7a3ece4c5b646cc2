"""Streams that are taken up again: which version began them, as all routers know it together."""

from aspengate.gateway.streams._directory import StreamDirectory, StreamPeers
from aspengate.gateway.streams._queries import StreamQueries

__all__ = ["StreamDirectory", "StreamPeers", "StreamQueries"]
