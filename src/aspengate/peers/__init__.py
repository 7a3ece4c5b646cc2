"""The other routers: who they are, that they live, and what they know of the store."""

from aspengate.peers._crashes import CrashExchange
from aspengate.peers._datagrams import DatagramPort
from aspengate.peers._exchange import PeerApplication, PeerClient, PeerServices
from aspengate.peers._leadership import DomainLeadership
from aspengate.peers._members import MEMBER_PREFIX, Member, MemberList, peer_addresses
from aspengate.peers._messages import (
    PENDING,
    CeilingNotice,
    CeilingReply,
    ChangedItem,
    CrashNotice,
    Datagram,
    LoanReply,
    LoanRequest,
    LostRun,
    MirrorChanges,
    PeerNews,
    PlacedRequest,
    Placements,
    PlacementScope,
    Repayment,
    RepaymentReply,
)
from aspengate.peers._placements import PlacementExchange, PlacementSink

__all__ = [
    "MEMBER_PREFIX",
    "PENDING",
    "CeilingNotice",
    "CeilingReply",
    "ChangedItem",
    "CrashExchange",
    "CrashNotice",
    "Datagram",
    "DatagramPort",
    "DomainLeadership",
    "LoanReply",
    "LoanRequest",
    "LostRun",
    "Member",
    "MemberList",
    "MirrorChanges",
    "PeerApplication",
    "PeerClient",
    "PeerNews",
    "PeerServices",
    "PlacedRequest",
    "PlacementExchange",
    "PlacementScope",
    "PlacementSink",
    "Placements",
    "Repayment",
    "RepaymentReply",
    "peer_addresses",
]
