"""Probes other hosts to find out whether this host is isolated.

Load pattern: see `trefoilpulley_core.direct.isolation`. In a deployment where
hosts of other zones answer, nothing is sent.
"""

from __future__ import annotations

from dataclasses import asdict
from typing import Any
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_core.direct.isolation import CheckOutcome
from trefoilpulley_core.direct.isolation import PROBE_TIMEOUT_S
from trefoilpulley_core.direct.isolation import SECOND_WAVE_DELAY_S
from trefoilpulley_core.direct.isolation_messages import IsolationNotice
from trefoilpulley_core.direct.isolation_messages import ReachabilityAnswer
from trefoilpulley_core.direct.isolation_messages import ReachabilityProbe
from trefoilpulley_node import events
from trefoilpulley_node.service import Service
from trefoilpulley_wire.call_observer import CallObserver

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.direct.isolation import CheckResult
    from trefoilpulley_core.direct.isolation import GroupContact
    from trefoilpulley_core.direct.isolation import IsolationDetector
    from trefoilpulley_core.direct.isolation import IsolationEvidence
    from trefoilpulley_core.direct.isolation import ReachabilityCheck
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.peer_server import PeerServer
    from trefoilpulley_node.peers import Peers

TICK_INTERVAL_S = 0.05
"""Time between two decisions whether a check is due, in seconds."""


class IsolationWatch(Service):
    """Runs the checks of an `IsolationDetector`.

    Parameters
    ----------
    detector : IsolationDetector
        Decides when to check, and what the answers mean.
    peers : Callable[[], Peers]
        Returns the connections to the other hosts.
    live_hosts : Callable[[], Iterable[str]]
        Returns the hosts that the membership takes for live.
    groups : Callable[[], Iterable[GroupContact]]
        Returns what this host knows of the primary of each group.
    clock : Clock
        Monotonic time.
    metrics : DirectMetrics
        Counts the checks.
    """

    def __init__(
        self,
        detector: IsolationDetector,
        peers: Callable[[], Peers],
        live_hosts: Callable[[], Iterable[str]],
        groups: Callable[[], Iterable[GroupContact]],
        clock: Clock,
        metrics: DirectMetrics,
    ) -> None:
        self._detector = detector
        self._peers = peers
        self._live_hosts = live_hosts
        self._groups = groups
        self._clock = clock
        self._metrics = metrics
        self._greenlet: gevent.Greenlet | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether this host counts itself as isolated."""
        return self._detector.is_isolated

    @property
    def isolated_s(self) -> float:
        """Time for which this host has been isolated, in seconds."""
        return self._detector.isolated_s(self._clock.now())

    @property
    def evidence(self) -> IsolationEvidence | None:
        """Numbers of the latest check while isolated, or of the return."""
        return self._detector.evidence

    def register_handlers(self, server: PeerServer) -> None:
        """Register the handlers of the messages of other hosts."""
        server.register(
            ReachabilityProbe,
            lambda probe, peer: ReachabilityAnswer(self.is_isolated),
        )
        server.register(IsolationNotice, self._on_notice)

    def set_hosts(self, registered: Mapping[str, str]) -> None:
        """Set the availability zone of each registered host."""
        self._detector.set_hosts(registered)

    def observe(self, host: str) -> CallObserver:
        """Return the observer of the calls to a host."""
        return _HostCalls(host, self._detector, self._clock)

    def start(self) -> None:
        """Start the recurring checks."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the recurring checks."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def tick(self) -> None:
        """Start a check in the background if one is due."""
        check = self._detector.begin_check(
            self._peers().connected_hosts, self._clock.now()
        )
        if check is not None:
            gevent.spawn(self._run_check, check)

    def _run(self) -> None:
        while True:
            gevent.sleep(TICK_INTERVAL_S)
            try:
                self.tick()
            # An unexpected error must not end the checks.
            except Exception as exc:
                events.HANDLER_CRASHED.log(
                    message='isolation', error=repr(exc)
                )

    def _run_check(self, check: ReachabilityCheck) -> None:
        try:
            self._check(check)
        # An unexpected error must be visible; the next check follows.
        except Exception as exc:
            events.HANDLER_CRASHED.log(message='isolation', error=repr(exc))

    def _check(self, check: ReachabilityCheck) -> None:
        answers = self._collect_answers(check)
        result = self._detector.end_check(
            check,
            answers.keys(),
            frozenset(self._live_hosts()),
            self._groups(),
            self._clock.now(),
            [host for host, is_isolated in answers.items() if is_isolated],
        )
        self._report(result)
        for host in result.replace:
            self._peers().replace(host)

    def _collect_answers(self, check: ReachabilityCheck) -> dict[str, bool]:
        """Return which hosts answer, until one of another zone does.

        The value tells whether the host counts itself as isolated.
        """
        probes = self._spawn_probes(check.remote, check.is_dialled)
        probes += self._spawn_probes(check.local)
        answered = self._wait(check, probes, SECOND_WAVE_DELAY_S)
        if answered.keys() & check.all_remote:
            return answered
        self._notify(check, frozenset(answered))
        probes += self._spawn_probes(check.second)
        probes += self._spawn_probes(check.redialled, is_dialled=True)
        return self._wait(check, probes, PROBE_TIMEOUT_S - SECOND_WAVE_DELAY_S)

    def _spawn_probes(
        self, hosts: Iterable[str], is_dialled: bool = False
    ) -> list[gevent.Greenlet]:
        return [gevent.spawn(self._probe, h, is_dialled) for h in hosts]

    def _wait(
        self,
        check: ReachabilityCheck,
        probes: list[gevent.Greenlet],
        timeout_s: float,
    ) -> dict[str, bool]:
        """Return the hosts that have answered by a timeout in seconds."""
        answered: dict[str, bool] = {}
        for greenlet in gevent.iwait(probes, timeout=timeout_s):
            if greenlet.value is not None:
                host, answer = greenlet.value
                answered[host] = answer.is_isolated
            if answered.keys() & check.all_remote:
                break
        return answered

    def _notify(
        self, check: ReachabilityCheck, answered: frozenset[str]
    ) -> None:
        notified = self._detector.choose_notified(
            check,
            answered,
            frozenset(self._live_hosts()),
            self._clock.now(),
        )
        for host in notified:
            self._metrics.count('isolation_notices')
            gevent.spawn(self._peers().notify_host, host, IsolationNotice())

    def _probe(
        self, host: str, is_dialled: bool
    ) -> tuple[str, ReachabilityAnswer] | None:
        """Return the name of the host and its answer, if there is one.

        A new connection shows that the host is reached, and no more.
        """
        if is_dialled:
            is_reached = self._peers().can_connect(host, PROBE_TIMEOUT_S)
            return (host, ReachabilityAnswer()) if is_reached else None
        result = self._peers().call_host(
            host, ReachabilityProbe(), PROBE_TIMEOUT_S
        )
        answer = result.value_or(None)
        is_answer = isinstance(answer, ReachabilityAnswer)
        return (host, answer) if is_answer else None

    def _on_notice(self, notice: IsolationNotice, peer: Any) -> None:
        self._detector.on_notice(self._clock.now())
        self.tick()

    def _report(self, result: CheckResult) -> None:
        evidence = result.evidence
        self._metrics.count(
            'isolation_checks', evidence.trigger, result.outcome.value
        )
        if result.is_first and result.outcome is not CheckOutcome.CONNECTED:
            events.ZONES_UNREACHABLE.log(
                outcome=result.outcome.value,
                **asdict(evidence),
            )
        if result.is_changed:
            events.ISOLATION_CHANGED.log(
                is_cut_off=self.is_isolated, **asdict(evidence)
            )


class _HostCalls(CallObserver):
    def __init__(
        self, host: str, detector: IsolationDetector, clock: Clock
    ) -> None:
        self._host = host
        self._detector = detector
        self._clock = clock

    def on_call(self) -> float | None:
        """Return the start time of a call to a host of another zone."""
        if not self._detector.is_remote(self._host):
            return None
        now = self._clock.now()
        self._detector.on_call(now)
        return now

    def on_call_ended(self, started_at: float, is_answered: bool) -> None:
        """Tell the detector of the end of a call."""
        self._detector.on_call_ended(
            started_at, is_answered, self._clock.now()
        )
