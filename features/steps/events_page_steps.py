"""Steps on the page of events, ``docs/EVENTS.md``."""

from __future__ import annotations

from pathlib import Path
import re
from typing import Any

from behave import then
from behave import when

from trefoilpulley_node import events

PAGE = Path('docs/EVENTS.md')
SOURCES = Path('packages/node/src')
ROW = re.compile(r'^\| (\d+) \| ([a-z-]+) \|', re.MULTILINE)


def _code_events() -> dict[int, str]:
    found = [e for e in vars(events).values() if isinstance(e, events.Event)]
    return {e.number: e.name for e in found}


def _page_events(text: str) -> dict[int, str]:
    return {int(number): name for number, name in ROW.findall(text)}


class EventsPageSteps:
    """Steps that compare the page of events with the code."""

    @staticmethod
    @when('the page of events is compared with the code')
    def compare_page(context: Any) -> None:
        """Collect the events of the page and of the code."""
        context.page = _page_events(PAGE.read_text(encoding='utf-8'))
        context.code = _code_events()

    @staticmethod
    @when('the page of events without its last row is compared with the code')
    def compare_short_page(context: Any) -> None:
        """Collect the events of the code and of all rows but the last."""
        text = PAGE.read_text(encoding='utf-8').rstrip()
        context.page = _page_events(text.rpartition('\n')[0])
        context.code = _code_events()

    @staticmethod
    @then('both list the same numbers and names')
    def check_equal(context: Any) -> None:
        """Check that the events are equal."""
        assert context.page == context.code, (context.page, context.code)

    @staticmethod
    @then('the events "{numbers}" are missing from the page')
    def check_missing(context: Any, numbers: str) -> None:
        """Check the numbers of the missing events."""
        missing = sorted(context.code.keys() - context.page.keys())
        assert missing == [int(n) for n in numbers.split(',')], missing

    @staticmethod
    @when('the sources of the node are searched for the events')
    def search_sources(context: Any) -> None:
        """Collect the events that no module of the node uses."""
        text = '\n'.join(
            path.read_text(encoding='utf-8')
            for path in SOURCES.rglob('*.py')
            if path.name != 'events.py'
        )
        context.unused = [
            name
            for name, event in vars(events).items()
            if isinstance(event, events.Event) and f'events.{name}' not in text
        ]

    @staticmethod
    @then('no event is unused')
    def check_used(context: Any) -> None:
        """Check that a module of the node uses each event."""
        assert not context.unused, context.unused
