"""Experiments as JSON files."""

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
"""Host processes that one experiment may start."""

MAX_MEMBERS = 96
"""Stand-in members that one experiment may start."""

MAX_CALLERS = 4000
"""Callers' connections that one experiment may open."""

MAX_RUN_S = 60.0
"""Longest time of one point, without the start, in seconds."""

BASE = 'karamanlis'
"""Deployment whose declarations and tenants the experiments use."""


@dataclass(frozen=True, slots=True)
class InvalidExperiment(Failure):
    """The experiment's file has faults."""

    code = 'invalid-experiment'
    run_state = RunState.NOT_RUN

    faults: tuple[str, ...] = ()
    """Each fault with its path."""


@dataclass(frozen=True, slots=True)
class Size:
    """Size of the deployment."""

    zones: int = 1
    """Availability zones."""

    hosts_per_zone: int = 2
    """Entry hosts of each zone."""

    databases: int = 2
    """Databases, of three members each."""

    slots: int = 8
    """Slots of each member."""

    connections: int = 16
    """Connections that each member accepts."""

    connect_ms: float = 12.0
    """Time that a new connection to a member costs, in milliseconds."""

    zone_delay_ms: float = 3.0
    """One-way delay between zones, in milliseconds."""

    lag_ms: float = 5.0
    """Lag of the replicas, in milliseconds."""

    @property
    def hosts(self) -> int:
        """Entry hosts of the deployment."""
        return self.zones * self.hosts_per_zone

    @property
    def members(self) -> int:
        """Members of the deployment."""
        return self.databases * find_deployment(BASE).members

    def to_deployment(self) -> Deployment:
        """Return the deployment of this size."""
        return replace(
            find_deployment(BASE),
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
    """Load of an experiment."""

    idle_callers: int = 0
    """Connections that only say hello, spread over the hosts."""

    callers: int = 4
    """Connections that send statements, spread over the hosts."""

    statements_per_s: float = 0.0
    """Statements a second of all callers together."""

    write_share: float = 0.2
    """Share of the statements that write."""

    databases_in_use: int = 0
    """Databases that the callers use; 0 for all."""

    changes_per_min: float = 0.0
    """Changes of the declarations a minute."""


class FaultKind(StrEnum):
    """Faults that an experiment can cause."""

    KILL_HOST = 'kill-host'
    START_HOST = 'start-host'
    CUT_ZONE = 'cut-zone'
    HEAL = 'heal'
    SERVICE_DOWN = 'service-down'
    SERVICE_UP = 'service-up'


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault at a time."""

    at_s: float
    """Time since the window's begin, in seconds."""

    kind: FaultKind
    """What happens."""

    target: str = ''
    """Host or zone that it happens to."""


@dataclass(frozen=True, slots=True)
class Sweep:
    """One field that takes several values."""

    path: str
    """Part and field, such as ``deployment.hosts_per_zone``."""

    values: tuple[float, ...]
    """Values, one point each."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """One experiment."""

    name: str
    """Name, also of the directory of its results."""

    sweep: Sweep
    """What is varied."""

    deployment: Size = Size()
    """Size of the deployment."""

    load: Load = Load()
    """Load."""

    faults: tuple[Fault, ...] = ()
    """Faults."""

    settle_s: float = 5.0
    """Time before the window, in seconds."""

    window_s: float = 8.0
    """Time that is measured, in seconds."""

    seed: int = 1
    """Seed of the load and the links."""

    def at(self, value: float) -> Experiment:
        """Return the experiment with the swept field at a value."""
        part, _, name = self.sweep.path.partition('.')
        old = getattr(self, part)
        whole = int(value) if isinstance(getattr(old, name), int) else value
        return replace(self, **{part: replace(old, **{name: whole})})


@dataclass(frozen=True, slots=True)
class _Bound:
    path: str
    most: float
    values: list[float] = field(default_factory=list)


_CONVERTER = make_converter(forbid_extra_keys=True)


def load_experiment(path: Path) -> Result[Experiment, Failure]:
    """Read and check an experiment's file."""
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        return Failed(InvalidExperiment(str(exc)))
    return parse_experiment(document)


def parse_experiment(document: Any) -> Result[Experiment, Failure]:
    """Check the document of an experiment."""
    try:
        found = _CONVERTER.structure(document, Experiment)
        points = [found.at(v) for v in found.sweep.values]
    except ClassValidationError as exc:
        faults = tuple(transform_error(exc, path='$'))
        return Failed(InvalidExperiment('file has faults', faults))
    except (AttributeError, TypeError, ValueError):
        fault = f'$.sweep.path: no such field: {found.sweep.path}'
        return Failed(InvalidExperiment('file has faults', (fault,)))
    faults = tuple(_find_faults(points))
    if faults:
        return Failed(InvalidExperiment('file has faults', faults))
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
    over = [b for b in bounds if max(b.values, default=0) > b.most]
    faults = [f'$: {b.path} is over {b.most:g}' for b in over]
    if not points:
        faults.append('$.sweep.values: is empty')
    return faults
