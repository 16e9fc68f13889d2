"""Steps on the capacity page."""

from __future__ import annotations

from dataclasses import replace
from importlib.util import find_spec
import math
import re
from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_standins.measure.page import extract_tables
from trefoilpulley_standins.measure.page import PAGE
from trefoilpulley_standins.measure.page import render_tables
from trefoilpulley_standins.measure.slopes import fit_slope
from trefoilpulley_standins.measure.slopes import load_recorded
from trefoilpulley_standins.measure.slopes import Point
from trefoilpulley_standins.measure.slopes import SLOPES_FILE

MODULE_PATTERN = re.compile(r'\btrefoilpulley_[a-z]+(?:\.[a-z_]+)*')
COLUMNS = 7


def _read_page(context: Any) -> str:
    return getattr(context, 'page', None) or PAGE.read_text(encoding='utf-8')


def _read_slopes(context: Any) -> Any:
    return getattr(context, 'slopes', None) or load_recorded(SLOPES_FILE)


def _exists(module: str) -> bool:
    try:
        return find_spec(module) is not None
    except ModuleNotFoundError:
        return False


def _fit(points: list[Point]) -> Any:
    return fit_slope('key', 'subject', 'size', 'unit', points, 'command')


class CapacityPageSteps:
    """Steps that compare docs/CAPACITY.md with the slopes and the code."""

    @staticmethod
    @given('a copy of the capacity page with one figure changed')
    def change_figure(context: Any) -> None:
        """Change one digit in the tables of a copy of the page."""
        text = PAGE.read_text(encoding='utf-8')
        tables = extract_tables(text)
        digit = re.search(r'\d', tables)
        other = str((int(digit.group()) + 1) % 10)
        changed = tables[: digit.start()] + other + tables[digit.end() :]
        context.page = text.replace(tables, changed)

    @staticmethod
    @given('a copy of the capacity slopes with one slope doubled')
    def change_slope(context: Any) -> None:
        """Double the slope ``member-frame`` in a copy of the slopes."""
        recorded = load_recorded(SLOPES_FILE)
        changed = [
            replace(s, slope=2 * s.slope) if s.key == 'member-frame' else s
            for s in recorded.slopes
        ]
        context.slopes = replace(recorded, slopes=tuple(changed))

    @staticmethod
    @given('a copy of the capacity page that names "{module}"')
    def name_module(context: Any, module: str) -> None:
        """Add a line that names a module to a copy of the page."""
        text = PAGE.read_text(encoding='utf-8')
        context.page = f'{text}\nSee `{module}`.\n'

    @staticmethod
    @when('the capacity page is compared with the recorded slopes')
    def compare_page(context: Any) -> None:
        """Render the tables and extract those of the page."""
        context.rendered = render_tables(_read_slopes(context))
        context.shown = extract_tables(_read_page(context))

    @staticmethod
    @when('the modules named on the capacity page are looked up')
    def find_modules(context: Any) -> None:
        """Collect the modules named on the page that do not exist."""
        named = set(MODULE_PATTERN.findall(_read_page(context)))
        assert named
        context.missing = {m for m in named if not _exists(m)}

    @staticmethod
    @when('a capacity slope is fitted through {points}')
    def fit_points(context: Any, points: str) -> None:
        """Fit a line; ``None`` stands for a refusal."""
        pairs = [p.split(':') for p in points.split(', ')]
        try:
            context.fitted = _fit(
                [Point(float(x), float(y)) for x, y in pairs]
            )
        except ValueError:
            context.fitted = None

    @staticmethod
    @then('the capacity tables agree')
    def check_equal(context: Any) -> None:
        """Expect that the tables are equal."""
        assert context.shown == context.rendered

    @staticmethod
    @then('the capacity tables differ')
    def check_different(context: Any) -> None:
        """Expect that the tables are different."""
        assert context.shown != context.rendered

    @staticmethod
    @then('no capacity module is missing')
    def check_modules(context: Any) -> None:
        """Expect that every named module exists."""
        assert not context.missing, context.missing

    @staticmethod
    @then('the capacity module "{module}" is missing')
    def check_missing(context: Any, module: str) -> None:
        """Expect that exactly one module is missing."""
        assert context.missing == {module}, context.missing

    @staticmethod
    @then('each capacity slope has at least {least:d} points and fits them')
    def check_slopes(context: Any, least: int) -> None:
        """Fit each recorded slope again and compare the results."""
        for found in load_recorded(SLOPES_FILE).slopes:
            assert len(found.points) >= least, found.key
            again = _fit(list(found.points))
            size = max(abs(p.y) for p in found.points)
            for name in ('base', 'slope', 'spread'):
                old, new = getattr(found, name), getattr(again, name)
                is_close = math.isclose(
                    old, new, rel_tol=0.02, abs_tol=size / 100
                )
                assert is_close, (found.key, name, old, new)

    @staticmethod
    @then('each capacity row has a mechanism, arithmetic and a margin')
    def check_rows(context: Any) -> None:
        """Check the cells of each row of the first table."""
        tables = extract_tables(PAGE.read_text(encoding='utf-8'))
        rows = tables.partition('\n\n')[0].splitlines()[2:]
        assert rows
        for row in rows:
            cells = [c.strip() for c in row.strip('|').split('|')]
            assert len(cells) == COLUMNS, row
            _, _, arithmetic, _, budget, margin, mechanism = cells
            assert arithmetic and MODULE_PATTERN.search(mechanism), row
            assert bool(budget) == (margin != 'none stated'), row

    @staticmethod
    @then(
        'the capacity slope is {slope:g} with the base {base:g} and no spread'
    )
    def check_fit(context: Any, slope: float, base: float) -> None:
        """Compare the parameters of the fitted line."""
        found = context.fitted
        assert (found.slope, found.base) == (slope, base), found
        assert found.spread == 0, found

    @staticmethod
    @then('the capacity slope is refused')
    def check_refused(context: Any) -> None:
        """Expect that no line was fitted."""
        assert context.fitted is None
