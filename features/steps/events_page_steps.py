"""Steps on the page of events."""

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
    """Compares docs/EVENTS.md with the code."""

    @staticmethod
    @when('the page of events is compared with the code')
    def compare_page(context: Any) -> None:
        """Read both."""
        context.page = _page_events(PAGE.read_text(encoding='utf-8'))
        context.code = _code_events()

    @staticmethod
    @when('the page of events without its last row is compared with the code')
    def compare_short_page(context: Any) -> None:
        """Read both, the page without its last row."""
        text = PAGE.read_text(encoding='utf-8').rstrip()
        context.page = _page_events(text.rpartition('\n')[0])
        context.code = _code_events()

    @staticmethod
    @then('both hold the same numbers and names')
    def check_equal(context: Any) -> None:
        """Expect no difference."""
        assert context.page == context.code, (context.page, context.code)

    @staticmethod
    @then('the events "{numbers}" are missing from the page')
    def check_missing(context: Any, numbers: str) -> None:
        """Expect a difference."""
        missing = sorted(context.code.keys() - context.page.keys())
        assert missing == [int(n) for n in numbers.split(',')], missing

    @staticmethod
    @when('the sources of the node are searched for the events')
    def search_sources(context: Any) -> None:
        """Find where each event is logged."""
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
    @then('none is unused')
    def check_used(context: Any) -> None:
        """Expect each event to be logged."""
        assert not context.unused, context.unused
