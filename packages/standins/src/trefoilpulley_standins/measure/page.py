"""Generated tables of the capacity page."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from trefoilpulley_standins.measure.rows import ROWS
from trefoilpulley_standins.measure.terms import format_figure
from trefoilpulley_standins.measure.terms import SlopeTerm

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpulley_standins.measure.row import Row
    from trefoilpulley_standins.measure.slopes import Recorded

PAGE = Path('docs/CAPACITY.md')
"""Capacity page, relative to the root of the repository."""

TABLES_BEGIN = '<!-- table: begin -->'
"""Line that precedes the tables."""

TABLES_END = '<!-- table: end -->'
"""Line that follows the tables."""


def render_tables(recorded: Recorded) -> str:
    """Return the text of the tables."""
    lines = [
        *_render_rows(recorded),
        '',
        '### Slopes',
        '',
        *_render_slopes(recorded),
        '',
        '### Figures of one size',
        '',
        *_render_figures(recorded),
    ]
    return '\n'.join(lines)


def replace_tables(text: str, tables: str) -> str:
    """Return the text of a page with its tables replaced."""
    head, _, rest = text.partition(TABLES_BEGIN)
    _, _, tail = rest.partition(TABLES_END)
    return f'{head}{TABLES_BEGIN}\n\n{tables}\n\n{TABLES_END}{tail}'


def extract_tables(text: str) -> str:
    """Return the tables from the text of a page."""
    return text.partition(TABLES_BEGIN)[2].partition(TABLES_END)[0].strip()


def _render_rows(recorded: Recorded) -> Iterator[str]:
    yield (
        '| role | figure | arithmetic | at the size | budget | margin '
        '| mechanism |'
    )
    yield '| --- | --- | --- | --- | --- | --- | --- |'
    for row in ROWS:
        value = sum(t.value(recorded) for t in row.terms)
        arithmetic = ' + '.join(t.text(recorded) for t in row.terms)
        budget = '' if row.budget is None else format_figure(row.budget)
        yield (
            f'| {row.role} | {row.figure} | {arithmetic} '
            f'| {format_figure(value)} {row.unit} | {budget} '
            f'| {_format_margin(row, value, recorded)} | `{row.mechanism}` |'
        )


def _format_margin(row: Row, value: float, recorded: Recorded) -> str:
    if row.budget is None:
        return 'none stated'
    if value <= row.budget:
        return f'{format_figure(row.budget / max(value, 1e-9))} times under'
    over = f'**over {format_figure(value / row.budget)} times**'
    return f'{over}{_format_size_limit(row, value, recorded)}'


def _format_size_limit(row: Row, value: float, recorded: Recorded) -> str:
    first = row.terms[0]
    if not isinstance(first, SlopeTerm):
        return ''
    others = value - first.value(recorded)
    size = first.size_at(recorded, row.budget - others)
    if size is None:
        return ''
    if size <= 0:
        return ', at any size'
    return f', from {format_figure(size)} {first.size_unit}'


def _render_slopes(recorded: Recorded) -> Iterator[str]:
    yield (
        '| key | figure | against | unit | points | at 0 | slope | spread '
        '| command |'
    )
    yield '| --- | --- | --- | --- | --- | --- | --- | --- | --- |'
    for entry in recorded.slopes:
        sizes = [p.x for p in entry.points]
        points = (
            f'{len(sizes)}, {format_figure(min(sizes))} to '
            f'{format_figure(max(sizes))}'
        )
        yield (
            f'| {entry.key} | {entry.subject} | {entry.against} '
            f'| {entry.unit} | {points} | {format_figure(entry.base)} '
            f'| {format_figure(entry.slope)} | {format_figure(entry.spread)} '
            f'| `{entry.command}` |'
        )


def _render_figures(recorded: Recorded) -> Iterator[str]:
    yield '| key | figure | value | command |'
    yield '| --- | --- | --- | --- |'
    for entry in recorded.figures:
        yield (
            f'| {entry.key} | {entry.subject} '
            f'| {format_figure(entry.value)} {entry.unit} '
            f'| `{entry.command}` |'
        )
