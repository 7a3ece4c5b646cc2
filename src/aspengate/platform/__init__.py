"""The outside systems that the fleet meets, each behind one small adapter."""

from aspengate.platform._documents import DocumentCodec, StoreDocument, VersionedValue
from aspengate.platform._engine import (
    CompletionUpstream,
    PlainUpstream,
    TokenUsage,
    Upstream,
    UpstreamRequest,
    UpstreamResponse,
    open_upstream,
    register_upstream,
)
from aspengate.platform._etcd import EtcdStore
from aspengate.platform._instances import HttpInstanceList, Instance, InstanceList, InstanceState
from aspengate.platform._store import Entry, Store

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
