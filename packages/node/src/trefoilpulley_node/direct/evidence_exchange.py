"""Exchanges proved positions between hosts.

Load pattern: after a restart of all hosts, or while some hosts are cut off
from a primary, few connections to the primary exist. A host that can't prove
the leadership itself takes the floors of its reads from hosts that can, and
continues to read at the replicas.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.direct.evidence_messages import EvidenceQuestion
from trefoilpulley_core.direct.evidence_messages import EvidenceReport
from trefoilpulley_core.direct.evidence_messages import make_report
from trefoilpulley_core.direct.evidence_messages import read_report

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    import random

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_node.direct.directory import Group
    from trefoilpulley_node.peers import Peers

MAX_HOSTS_ASKED = 2
"""Maximum number of hosts asked at once.

More than one host is asked, since a single host may lack evidence too.
"""

ANSWER_TIMEOUT_S = 0.2
"""Timeout of an evidence request to another host, in seconds."""


class EvidenceExchange:
    """Requests evidence from other hosts and answers their requests.

    Parameters
    ----------
    host : str
        Name of this host.
    peers : Peers
        Connections to the other hosts.
    registered_hosts : Callable[[], Mapping[str, str]]
        Availability zone of each registered host.
    groups : Mapping[str, Group]
        Groups by name.
    clock : Clock
        Monotonic time.
    rng : random.Random
        Chooses the hosts to ask.
    """

    def __init__(
        self,
        host: str,
        peers: Peers,
        registered_hosts: Callable[[], Mapping[str, str]],
        groups: Mapping[str, Group],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._host = host
        self._peers = peers
        self._registered_hosts = registered_hosts
        self._groups = groups
        self._clock = clock
        self._rng = rng

    def request_evidence(self, group: Group) -> None:
        """Request evidence from other hosts and record newer evidence."""
        access = group.find_access(group.state.primary or '')
        if access is not None and access.is_relayed:
            # The holder that relays this host's statements has an open
            # channel.
            chosen = access.holders[:1]
        else:
            others = sorted(
                h for h in self._registered_hosts() if h != self._host
            )
            chosen = self._rng.sample(
                others, min(MAX_HOSTS_ASKED, len(others))
            )
        gevent.joinall(
            [gevent.spawn(self._request_from, group, h) for h in chosen]
        )

    def on_question(self, question: EvidenceQuestion) -> EvidenceReport:
        """Return this host's newest evidence."""
        group = self._groups.get(question.group)
        if group is not None:
            # A request of another host counts as use of the group, so that
            # this host keeps its evidence recent.
            group.state.last_request_at = self._clock.now()
        newest = group.state.evidence.newest if group else None
        return make_report(newest, self._clock.now())

    def _request_from(self, group: Group, host: str) -> None:
        asked_at = self._clock.now()
        question = EvidenceQuestion(group.state.group)
        result = self._peers.call_host(host, question, ANSWER_TIMEOUT_S)
        report = result.value_or(None)
        if not isinstance(report, EvidenceReport):
            return
        evidence = read_report(report, asked_at)
        if evidence is not None:
            group.state.evidence.record(evidence.at, evidence.position)
