"""Clients of the key-value store, the upstreams and the platform's instance list."""

from aspengate.adapters._documents import DocumentCodec, StoreDocument, VersionedValue
from aspengate.adapters._engine import (
    CompletionUpstream,
    PlainUpstream,
    TokenUsage,
    Upstream,
    UpstreamRequest,
    UpstreamResponse,
    open_upstream,
    register_upstream,
)
from aspengate.adapters._etcd import EtcdStore
from aspengate.adapters._instances import HttpInstanceList, Instance, InstanceList, InstanceState
from aspengate.adapters._store import Entry, Store

__all__ = [
    "CompletionUpstream",
    "DocumentCodec",
    "Entry",
    "EtcdStore",
    "HttpInstanceList",
    "Instance",
    "InstanceList",
    "InstanceState",
    "PlainUpstream",
    "Store",
    "StoreDocument",
    "TokenUsage",
    "Upstream",
    "UpstreamRequest",
    "UpstreamResponse",
    "VersionedValue",
    "open_upstream",
    "register_upstream",
]
