"""Replay of recorded routing and age traces."""

from __future__ import annotations

from dataclasses import replace
import json
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.declarations import Freshness
from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.declarations import Promptness
from trefoilpulley_core.declarations import Safety
from trefoilpulley_core.declarations import WorkClass
from trefoilpulley_core.declarations import WorkKind
from trefoilpulley_core.freshness import AgeTracker
from trefoilpulley_core.peer import MemberDigest
from trefoilpulley_core.position import Position
from trefoilpulley_core.routing import DatabaseView
from trefoilpulley_core.routing import MemberView
from trefoilpulley_core.routing import RouteRequest
from trefoilpulley_core.routing_targets import TargetRouting
from trefoilpulley_core.targets import ClassTargets
from trefoilpulley_core.upstream import Acknowledgement

if TYPE_CHECKING:
    from returns.result import Result

TRACES = Path(__file__).parent.parent / 'traces' / 'routing'
"""Directory of the traces and their expected outcomes."""


def make_class(
    name: str,
    work: WorkKind,
    freshness: Freshness,
    within_ms: int,
    share: float,
) -> WorkClass:
    """Return a class of work; a read may be retried, a write may not."""
    return WorkClass(
        name,
        work,
        freshness,
        Promptness(within_ms, share),
        Safety(2, work is WorkKind.READ),
    )


PRESENT = Freshness(FreshnessKind.PRESENT)
"""Freshness of a read that only the primary may serve."""

CLASSES = (
    make_class('filing', WorkKind.WRITE, PRESENT, 2000, 0.99),
    make_class('search', WorkKind.READ, PRESENT, 1000, 0.99),
    make_class(
        'status', WorkKind.READ, Freshness(FreshnessKind.SESSION), 400, 0.98
    ),
    make_class(
        'lookup', WorkKind.READ, Freshness(FreshnessKind.AGE, 2000), 250, 0.95
    ),
)
"""Classes of work in the scenarios."""


def find_class(name: str) -> WorkClass:
    """Return the class of work with the given name."""
    return next(c for c in CLASSES if c.name == name)


def make_targets() -> ClassTargets:
    """Return targets with the declared classes of the scenarios."""
    targets = ClassTargets()
    targets.declare(CLASSES)
    return targets


def read_lines(name: str) -> list[dict[str, Any]]:
    """Return the decoded lines of a file of traces or outcomes."""
    text = (TRACES / name).read_text()
    return [json.loads(line) for line in text.splitlines()]


class RoutingReplay:
    """Replays a trace of digests and requests with the target policy.

    Parameters
    ----------
    name : str
        Name of the trace.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._targets = make_targets()
        self._policy = TargetRouting(self._targets)
        self._members: dict[str, MemberView] = {}
        self.routes: dict[str, Result] = {}
        """Route or failure of each request, by the request's name."""

    def run(self) -> None:
        """Replay the lines of the trace in order."""
        for line in read_lines(f'{self._name}.jsonl'):
            handler = getattr(self, '_on_' + line['event'].replace('-', '_'))
            handler(line)

    def _on_digest(self, line: dict[str, Any]) -> None:
        copies = line.get('copies', {}).items()
        digest = MemberDigest(
            line['member'],
            line['is_primary'],
            line['term'],
            Position(*line['last']),
            line['term_start'],
            line.get('age_ms', 0 if line['is_primary'] else None),
            line.get('lag_ms', 0),
            line.get('queue_ms', 0),
            line.get('is_reachable', True),
            copies=tuple(Acknowledgement(m, Position(*p)) for m, p in copies),
        )
        self._members[line['member']] = MemberView(
            line['member'],
            line['zone'],
            digest,
            line['time'],
            line.get('round_trip_ms', 6.0),
            is_leaving=False,
        )

    def _on_lost(self, line: dict[str, Any]) -> None:
        known = self._members[line['member']]
        self._members[line['member']] = replace(known, digest=None)

    def _on_leaving(self, line: dict[str, Any]) -> None:
        known = self._members[line['member']]
        self._members[line['member']] = replace(known, is_leaving=True)

    def _on_in_danger(self, line: dict[str, Any]) -> None:
        for _ in range(100):
            self._targets.record_refusal(line['work_class'], line['time'])

    def _on_request(self, line: dict[str, Any]) -> None:
        work_class = find_class(line['work_class'])
        within_ms = line.get('within_ms', work_class.promptness.within_ms)
        floor = line['floor']
        req = RouteRequest(
            work_class,
            None if floor is None else Position(*floor),
            line['zone'],
            line['time'] + within_ms / 1000,
            frozenset(line.get('excluded', ())),
        )
        view = DatabaseView('m', tuple(self._members.values()))
        route = self._policy.choose(view, req, line['time'])
        self.routes[line['request']] = route


class AgeReplay:
    """Replays a trace of probes and statuses with an age tracker.

    Parameters
    ----------
    name : str
        Name of the trace.
    tracker : AgeTracker
        Tracker that receives the probes and statuses.
    """

    def __init__(self, name: str, tracker: AgeTracker) -> None:
        self._name = name
        self._tracker = tracker
        self.ages: dict[str, int | None] = {}
        """Age at each question of the trace, in milliseconds."""

    def run(self) -> None:
        """Replay the lines of the trace in order."""
        for line in read_lines(f'{self._name}.jsonl'):
            getattr(self, '_on_' + line['event'])(line)

    def _on_probe(self, line: dict[str, Any]) -> None:
        position = Position(*line['position'])
        self._tracker.on_primary_probe(line['sent_at'], position)

    def _on_status(self, line: dict[str, Any]) -> None:
        position = Position(*line['position'])
        self._tracker.on_replica_status(
            position, line['asked_at'], line['fenced_term']
        )

    def _on_age(self, line: dict[str, Any]) -> None:
        age_ms = self._tracker.age_ms(line['time'])
        self.ages[line['question']] = age_ms
