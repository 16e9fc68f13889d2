"""Definitions of experiments, loaded from JSON files."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import StrEnum
import json
from typing import Any
from typing import TYPE_CHECKING

from cattrs import ClassValidationError
from cattrs.preconf.json import make_converter
from cattrs import transform_error
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import RunState
from trefoilpulley_standins.deployment import Deployment
from trefoilpulley_standins.deployment import find_deployment

if TYPE_CHECKING:
    from pathlib import Path

MAX_HOSTS = 24
"""Maximum number of host processes in an experiment."""

MAX_MEMBERS = 96
"""Maximum number of stand-in members in an experiment."""

MAX_CALLERS = 4000
"""Maximum number of callers' connections in an experiment."""

MAX_RUN_S = 60.0
"""Maximum duration of a point, excluding its startup, in seconds."""

BASE_DEPLOYMENT = 'karamanlis'
"""Name of the deployment on which the experiments are based."""


@dataclass(frozen=True, slots=True)
class InvalidExperiment(Failure):
    """The definition of the experiment is invalid."""

    code = 'invalid-experiment'
    run_state = RunState.NOT_RUN

    faults: tuple[str, ...] = ()
    """Descriptions of the faults, each with its JSON path."""


@dataclass(frozen=True, slots=True)
class Size:
    """Size of the deployment."""

    zones: int = 1
    """Number of availability zones."""

    hosts_per_zone: int = 2
    """Number of entry hosts per zone."""

    databases: int = 2
    """Number of databases, each with three members."""

    slots: int = 8
    """Number of slots of each member."""

    connections: int = 16
    """Maximum number of connections that each member accepts."""

    connect_ms: float = 12.0
    """Time needed to connect to a member, in milliseconds."""

    zone_delay_ms: float = 3.0
    """One-way delay between zones, in milliseconds."""

    lag_ms: float = 5.0
    """Replication lag, in milliseconds."""

    @property
    def hosts(self) -> int:
        """Number of entry hosts in the deployment."""
        return self.zones * self.hosts_per_zone

    @property
    def members(self) -> int:
        """Number of members in the deployment."""
        return self.databases * find_deployment(BASE_DEPLOYMENT).members

    def to_deployment(self) -> Deployment:
        """Return the base deployment scaled to this size."""
        return replace(
            find_deployment(BASE_DEPLOYMENT),
            zones=tuple(f'zone-{n}' for n in range(self.zones)),
            hosts=self.hosts,
            databases=self.databases,
            slots=self.slots,
            connections=self.connections,
            connect_ms=self.connect_ms,
            zone_delay_ms=self.zone_delay_ms,
            lag_ms=self.lag_ms,
        )


@dataclass(frozen=True, slots=True)
class Load:
    """Load that the callers generate."""

    idle_callers: int = 0
    """Number of idle connections, spread over the hosts."""

    callers: int = 4
    """Number of connections that send statements, spread over the hosts."""

    statements_per_s: float = 0.0
    """Total rate of statements of all callers, per second."""

    write_share: float = 0.2
    """Share of the statements that are writes."""

    databases_in_use: int = 0
    """Number of databases that the callers use; 0 for all."""

    changes_per_min: float = 0.0
    """Rate of configuration changes, per minute."""


class FaultKind(StrEnum):
    """Kind of a fault that an experiment injects or ends."""

    KILL_HOST = 'kill-host'
    START_HOST = 'start-host'
    CUT_ZONE = 'cut-zone'
    HEAL = 'heal'
    SERVICE_DOWN = 'service-down'
    SERVICE_UP = 'service-up'


@dataclass(frozen=True, slots=True)
class Fault:
    """Fault injected at a given time."""

    at_s: float
    """Time since the start of the measurement window, in seconds."""

    kind: FaultKind
    """Kind of the fault."""

    target: str = ''
    """Name of the affected host or zone, if any."""


@dataclass(frozen=True, slots=True)
class Sweep:
    """Field that takes a different value at each point."""

    path: str
    """Path of the field, such as ``deployment.hosts_per_zone``."""

    values: tuple[float, ...]
    """Values of the field, one per point."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """Definition of an experiment."""

    name: str
    """Name of the experiment and of its default results directory."""

    sweep: Sweep
    """Field that is varied between the points."""

    deployment: Size = Size()
    """Size of the deployment."""

    load: Load = Load()
    """Load that the callers generate."""

    faults: tuple[Fault, ...] = ()
    """Faults to inject during the measurement window."""

    settle_s: float = 5.0
    """Time under load before the measurement window, in seconds."""

    window_s: float = 8.0
    """Duration of the measurement window, in seconds."""

    seed: int = 1
    """Seed of the load and of the links."""

    def with_value(self, value: float) -> Experiment:
        """Return the experiment with the swept field set to a value."""
        part, _, name = self.sweep.path.partition('.')
        old_part = getattr(self, part)
        typed_value = (
            int(value) if isinstance(getattr(old_part, name), int) else value
        )
        return replace(
            self, **{part: replace(old_part, **{name: typed_value})}
        )


@dataclass(frozen=True, slots=True)
class _Bound:
    path: str
    most: float
    values: list[float] = field(default_factory=list)


_CONVERTER = make_converter(forbid_extra_keys=True)


def load_experiment(path: Path) -> Result[Experiment, Failure]:
    """Load and validate an experiment file."""
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        return Failed(InvalidExperiment(str(exc)))
    return parse_experiment(document)


def parse_experiment(document: Any) -> Result[Experiment, Failure]:
    """Validate the JSON document of an experiment."""
    try:
        found = _CONVERTER.structure(document, Experiment)
        points = [found.with_value(v) for v in found.sweep.values]
    except ClassValidationError as exc:
        faults = tuple(transform_error(exc, path='$'))
        return Failed(
            InvalidExperiment('experiment definition is invalid', faults)
        )
    except (AttributeError, TypeError, ValueError):
        fault = f'$.sweep.path: no such field: {found.sweep.path}'
        return Failed(
            InvalidExperiment('experiment definition is invalid', (fault,))
        )
    faults = tuple(_find_faults(points))
    if faults:
        return Failed(
            InvalidExperiment('experiment definition is invalid', faults)
        )
    return Success(found)


def _find_faults(points: list[Experiment]) -> list[str]:
    bounds = (
        _Bound('hosts', MAX_HOSTS, [p.deployment.hosts for p in points]),
        _Bound('members', MAX_MEMBERS, [p.deployment.members for p in points]),
        _Bound(
            'callers',
            MAX_CALLERS,
            [p.load.callers + p.load.idle_callers for p in points],
        ),
        _Bound(
            'settle_s + window_s',
            MAX_RUN_S,
            [p.settle_s + p.window_s for p in points],
        ),
    )
    exceeded = [b for b in bounds if max(b.values, default=0) > b.most]
    faults = [f'$: {b.path} is over the limit of {b.most:g}' for b in exceeded]
    if not points:
        faults.append('$.sweep.values: is empty')
    return faults
