"""Asks other hosts for a newer configuration while the service is silent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from trefoilpulley_core.direct.config_messages import ConfigurationAnswer
from trefoilpulley_core.direct.config_messages import ConfigurationQuestion
from trefoilpulley_core.membership.messages import Versions
from trefoilpulley_node import events
from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.config_inquiry import ConfigInquiry
    from trefoilpulley_core.direct.routes import RouteTable
    from trefoilpulley_node.direct.config_holder import ConfigHolder
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.peers import Peers

CHECK_INTERVAL_S = 0.2
"""Time between two checks whether other hosts are to be asked, in seconds."""

ANSWER_TIMEOUT_S = 0.3
"""Timeout of a question to another host, in seconds."""


class ConfigExchange(Service):
    """Asks other hosts for a newer configuration and puts it in force.

    Parameters
    ----------
    inquiry : ConfigInquiry
        Decides whom to ask, and when.
    holder : ConfigHolder
        Configuration in force.
    peers : Peers
        Connections to the other hosts.
    is_following : Callable[[], bool]
        Returns whether this host follows the platform's service.
    live_hosts : Callable[[], Mapping[str, Sequence[str]]]
        Returns the live hosts by availability zone.
    announce : Callable[[Versions], None]
        Sets the versions that the probes of the membership carry.
    clock : Clock
        Monotonic time.
    metrics : DirectMetrics
        Counts the questions.
    """

    def __init__(
        self,
        inquiry: ConfigInquiry,
        holder: ConfigHolder,
        peers: Peers,
        is_following: Callable[[], bool],
        live_hosts: Callable[[], Mapping[str, Sequence[str]]],
        announce: Callable[[Versions], None],
        clock: Clock,
        metrics: DirectMetrics,
    ) -> None:
        self._inquiry = inquiry
        self._holder = holder
        self._peers = peers
        self._is_following = is_following
        self._live_hosts = live_hosts
        self._announce = announce
        self._clock = clock
        self._metrics = metrics
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the recurring checks."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the recurring checks."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def on_applied(self, table: RouteTable) -> None:
        """Announce the version of a new configuration."""
        self._inquiry.on_applied()
        self._announce(Versions(configuration=table.version))

    def on_versions(self, host: str, versions: Versions) -> None:
        """Note the version that the probe of another host carries."""
        self._inquiry.on_version(
            host,
            versions.configuration,
            self._holder.version,
            self._clock.now(),
        )

    def check(self) -> None:
        """Ask other hosts if a round is due."""
        holder = self._holder
        hosts = self._inquiry.begin_round(
            self._is_following(),
            holder.has_customers or holder.version == 0,
            self._live_hosts(),
            self._clock.now(),
        )
        for host in hosts:
            if self._ask(host):
                return

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            try:
                self.check()
            # An unexpected error must not end the checks.
            except Exception as exc:
                events.HANDLER_CRASHED.log(
                    message='configuration', error=type(exc).__name__
                )

    def _ask(self, host: str) -> bool:
        """Return whether a host had a newer configuration."""
        question = ConfigurationQuestion(self._holder.version)
        result = self._peers.call_host(host, question, ANSWER_TIMEOUT_S)
        answer = result.value_or(None)
        if not isinstance(answer, ConfigurationAnswer):
            self._count('unanswered')
            return False
        if answer.version == 0:
            self._count('none')
            return False
        applied = self._holder.apply(answer.value, host)
        if not isinstance(applied, Success):
            events.CONFIGURATION_DROPPED.log(
                source=host,
                version=answer.version,
                in_force=self._holder.version,
                detail=applied.failure().detail,
            )
        is_applied = applied.value_or(False)
        self._count('newer' if is_applied else 'dropped')
        return is_applied

    def _count(self, outcome: str) -> None:
        self._metrics.count('configuration_questions', outcome)
