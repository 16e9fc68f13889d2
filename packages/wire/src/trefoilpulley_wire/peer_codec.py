"""Codec of the connections between hosts."""

from __future__ import annotations

from trefoilpulley_core.configuration import messages as documents
from trefoilpulley_core.direct import admission_messages
from trefoilpulley_core.direct import config_messages
from trefoilpulley_core.direct import evidence_messages
from trefoilpulley_core.direct import failover
from trefoilpulley_core.direct import isolation_messages
from trefoilpulley_core.direct import relay_messages
from trefoilpulley_core.direct.upstream_session import Call
from trefoilpulley_core.direct import watch_relay_messages
from trefoilpulley_core.membership import messages
from trefoilpulley_core import peer
from trefoilpulley_wire.codec import Codec

PEER_CODEC = Codec(
    (
        documents.Document,
        documents.FetchDocument,
        messages.Exchange,
        messages.News,
        messages.Probe,
        messages.ProbeAnswer,
        messages.ProbeForMe,
        messages.ProbeReport,
        peer.Digests,
        peer.FenceMember,
        peer.FollowMember,
        peer.GetDigest,
        peer.GetStatus,
        peer.PauseReport,
        peer.PauseWrites,
        peer.PeerHello,
        peer.PeerWelcome,
        peer.PooledBegin,
        peer.PooledBegun,
        peer.PooledCommit,
        peer.PooledDone,
        peer.PooledFailure,
        peer.PooledRead,
        peer.PooledResolve,
        peer.PooledResult,
        peer.PooledRollback,
        peer.PooledRun,
        peer.PooledWrite,
        peer.PromoteMember,
        peer.ResumeWrites,
        peer.StatusReport,
        peer.WarmConnections,
        admission_messages.AdmissionAnswer,
        admission_messages.AdmissionQuestion,
        config_messages.ConfigurationAnswer,
        config_messages.ConfigurationQuestion,
        evidence_messages.EvidenceQuestion,
        evidence_messages.EvidenceReport,
        isolation_messages.IsolationNotice,
        isolation_messages.ReachabilityAnswer,
        isolation_messages.ReachabilityProbe,
        relay_messages.EndLease,
        relay_messages.RelayedCalls,
        relay_messages.RelayedReplies,
        relay_messages.RelayRefused,
        failover.LeaderNotice,
        failover.OrderNotice,
        failover.ReachQuestion,
        failover.ReachReport,
        watch_relay_messages.ChangesAnswer,
        watch_relay_messages.ChangesQuestion,
    ),
    unions={relay_messages.RelayedCalls: Call},
)
"""Codec for every message that hosts exchange with each other."""
