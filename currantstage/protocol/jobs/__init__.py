"""Messages and records about jobs, and their codecs."""

from __future__ import annotations

from currantstage.protocol.jobs._calls import (
    AdmittedCall,
    CallRefusal,
    JobBody,
    JobCalls,
)
from currantstage.protocol.jobs._peers import (
    ConfigurationQuery,
    ConfigurationReply,
    JobAccepted,
    JobCancelled,
    LeaseQuery,
    LeaseReleased,
    Noted,
    NotScheduler,
    PeerQuery,
    PeerReply,
    StateQuery,
    StateReply,
    WaitingQuery,
    WaitingReply,
    decode_peer_query,
    decode_peer_reply,
    encode_peer_message,
)
from currantstage.protocol.jobs._rows import (
    MemberRow,
    decode_lease,
    decode_member,
    decode_progress,
    decode_submission,
    encode_row,
)

__all__ = [
    "AdmittedCall",
    "CallRefusal",
    "ConfigurationQuery",
    "ConfigurationReply",
    "JobAccepted",
    "JobBody",
    "JobCalls",
    "JobCancelled",
    "LeaseQuery",
    "LeaseReleased",
    "MemberRow",
    "NotScheduler",
    "Noted",
    "PeerQuery",
    "PeerReply",
    "StateQuery",
    "StateReply",
    "WaitingQuery",
    "WaitingReply",
    "decode_lease",
    "decode_member",
    "decode_peer_query",
    "decode_peer_reply",
    "decode_progress",
    "decode_submission",
    "encode_peer_message",
    "encode_row",
]
