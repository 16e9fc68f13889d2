"""Samples of the hosts and the service of a running deployment."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
import time
from typing import Any
from typing import TYPE_CHECKING

import gevent
import psutil
from returns.result import Success

from trefoilpulley_core.caller import GetState
from trefoilpulley_standins.demo.control_client import ControlClient
from trefoilpulley_wire.caller_codec import CALLER_CODEC
from trefoilpulley_wire.dial import dial

if TYPE_CHECKING:
    from trefoilpulley_node.settings import NodeSettings
    from trefoilpulley_standins.layout import Layout
    from trefoilpulley_standins.processes import Processes
    from trefoilpulley_wire.channel import Channel

READY_TIMEOUT_S = 20.0
"""Time limit for all hosts and members to be ready, in seconds."""

ANSWER_TIMEOUT_S = 3.0
"""Timeout of fetching a state dump, in seconds."""

_POLL_INTERVAL_S = 0.2
_KIB = 1024.0


@dataclass(frozen=True, slots=True)
class HostSample:
    """Sample of one host process."""

    host: str
    """Name of the entry host."""

    pid: int
    """Process identifier of the host."""

    at_s: float
    """Monotonic time of the sample, in seconds."""

    cpu_s: float
    """CPU time used by the process so far, in seconds."""

    rss_kb: float
    """Resident memory of the process, in KiB."""

    state: dict[str, Any]
    """State dump of the host; empty if the host returned none."""

    @property
    def pooled_members(self) -> frozenset[str]:
        """Names of the members to which the host pools connections."""
        found = self.state.get('pooler', {}).get('members', ())
        return frozenset(m['member'] for m in found)

    @property
    def acting_shards(self) -> int:
        """Number of shards that the host coordinates."""
        shards = self.state.get('coordination', {}).get('shards', ())
        return sum(s['is_acting'] for s in shards)

    @property
    def callers(self) -> int:
        """Number of callers connected to the host."""
        return self.state.get('entry', {}).get('callers', 0)

    def messages(self, side: str) -> Counter[str]:
        """Return the number of messages by type, with peers or members."""
        return self._counts_by_type(side, 'messages')

    def size_bytes(self, side: str) -> Counter[str]:
        """Return the number of bytes by type, with peers or members."""
        return self._counts_by_type(side, 'size_bytes')

    def _counts_by_type(self, side: str, field: str) -> Counter[str]:
        found = self.state.get('traffic', {}).get(side, ())
        return Counter({t['message']: t[field] for t in found})


@dataclass(frozen=True, slots=True)
class Sample:
    """Sample of a deployment."""

    hosts: tuple[HostSample, ...]
    """Samples of the running hosts."""

    calls: Counter[str]
    """Number of calls to the platform service by kind and by zone."""

    at_s: float
    """Monotonic time of the sample, in seconds."""


class Probe:
    """Takes samples of the hosts and the platform service.

    Parameters
    ----------
    layout : Layout
        Layout of the running deployment.
    processes : Processes
        Processes of the deployment.
    """

    def __init__(self, layout: Layout, processes: Processes) -> None:
        self._layout = layout
        self._processes = processes
        self._control = ControlClient(layout)
        self._channels: dict[str, Channel] = {}

    def wait_ready(self) -> None:
        """Wait until all hosts have declarations and reach all members."""
        with gevent.Timeout(READY_TIMEOUT_S):
            while not self._is_ready():
                gevent.sleep(_POLL_INTERVAL_S)

    def take_sample(self) -> Sample:
        """Return a sample of the hosts and the platform service."""
        hosts = (self._sample_host(h) for h in self._layout.hosts)
        return Sample(
            tuple(h for h in hosts if h is not None),
            Counter(self._control.calls_by_kind()),
            time.monotonic(),
        )

    def close(self) -> None:
        """Close the connections to the hosts."""
        for channel in self._channels.values():
            channel.close()

    def _is_ready(self) -> bool:
        states = [self._fetch_state(h) for h in self._layout.hosts]
        if not all(_has_declarations(s) for s in states):
            return False
        reached_members = {
            m for state in states for m in _reachable_members(state)
        }
        return len(reached_members) == len(self._layout.members.members)

    def _sample_host(self, host: NodeSettings) -> HostSample | None:
        try:
            pid = self._processes.pid_of(host.host)
            process = psutil.Process(pid)
            cpu_times = process.cpu_times()
            rss_kb = process.memory_info().rss / _KIB
        except (KeyError, psutil.NoSuchProcess):
            return None
        at_s = time.monotonic()
        cpu_s = cpu_times.user + cpu_times.system
        state = self._fetch_state(host)
        return HostSample(host.host, pid, at_s, cpu_s, rss_kb, state)

    def _fetch_state(self, host: NodeSettings) -> dict[str, Any]:
        channel = self._channels.get(host.host)
        if channel is None or not channel.is_open:
            dialed = dial(
                host.listen, CALLER_CODEC, timeout_s=ANSWER_TIMEOUT_S
            )
            if not isinstance(dialed, Success):
                return {}
            channel = self._channels[host.host] = dialed.unwrap()
        reply = channel.call(GetState(host.operator_secret), ANSWER_TIMEOUT_S)
        return getattr(reply.value_or(None), 'state', {})


def _has_declarations(state: dict[str, Any]) -> bool:
    applied = state.get('configuration', {})
    return applied.get('configuration_revision', 0) > 0


def _reachable_members(state: dict[str, Any]) -> list[str]:
    pooled_members = state.get('pooler', {}).get('members', ())
    return [m['member'] for m in pooled_members if m['is_reachable']]
