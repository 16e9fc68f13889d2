"""Markdown table of the figures and their targets."""

from __future__ import annotations

from collections import defaultdict
import statistics
from typing import TYPE_CHECKING

from trefoilpulley_standins.figures.targets import find_target

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from trefoilpulley_standins.figures.sample import Sample
    from trefoilpulley_standins.figures.targets import Target

COLUMNS = (
    'deployment',
    'figure',
    'target',
    'median',
    'worst',
    'values',
    'requests',
    'met',
)
"""Headers of the table's columns."""


def render_table(samples: Iterable[Sample]) -> Iterator[str]:
    """Yield the lines of the table."""
    rows: dict[tuple[str, str], list[Sample]] = defaultdict(list)
    for sample in samples:
        rows[sample.run.deployment, sample.figure].append(sample)
    yield _format_row(COLUMNS)
    yield _format_row('---' for _ in COLUMNS)
    for (deployment, figure), found in sorted(rows.items()):
        target = find_target(deployment, figure)
        yield _format_row((deployment, figure, *_format_cells(target, found)))


def describe_load(samples: tuple[Sample, ...]) -> str:
    """Return a description of the machine's load during the runs."""
    loads = sorted(s.load for s in samples)
    stolen = sorted(s.stolen for s in samples)
    seeds = sorted({s.run.seed for s in samples})
    return (
        f'seeds {", ".join(map(str, seeds))}; load average at the ends of '
        f'the runs from {loads[0]:.1f} to {loads[-1]:.1f}; processor time '
        f'stolen from the machine {stolen[0]:.0%} to {stolen[-1]:.0%}'
    )


def _format_cells(
    target: Target | None, samples: list[Sample]
) -> tuple[str, ...]:
    values = [s.value for s in samples]
    known = [v for v in values if v is not None]
    missing = len(values) - len(known)
    count = f'{len(values)}, {missing} not seen' if missing else len(values)
    if not known:
        return (str(target or ''), '', 'not seen', str(count), '', '**no**')
    worst = target.worst_value(known) if target else max(known)
    return (
        str(target or ''),
        f'{statistics.median(known):.3g}',
        'not seen' if missing else f'{worst:.3g}',
        str(count),
        _count_requests(samples),
        _format_verdict(target, values),
    )


def _count_requests(samples: list[Sample]) -> str:
    total = sum(s.count for s in samples)
    return str(total) if total > len(samples) else ''


def _format_verdict(target: Target | None, values: list[float | None]) -> str:
    if target is None:
        return ''
    return 'yes' if target.is_met(values) else '**no**'


def _format_row(cells: Iterable[str]) -> str:
    return f'| {" | ".join(cells)} |'
