"""The other routers: who they are, that they live, and what they know of the store."""

from aspengate.peers._beacon import Beacon, PeerNews
from aspengate.peers._exchange import PeerApplication, PeerClient
from aspengate.peers._members import MEMBER_PREFIX, Member, MemberList, peer_addresses

__all__ = [
    "MEMBER_PREFIX",
    "Beacon",
    "Member",
    "MemberList",
    "PeerApplication",
    "PeerClient",
    "PeerNews",
    "peer_addresses",
]
