"""Steps on the page for operators."""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path
import re
from typing import Any

from behave import then
from behave import when

from trefoilpulley_core.membership.live_hosts import ZoneHosts
from trefoilpulley_core.targets import ClassReport
from trefoilpulley_node.configuration_runner import ConfigurationState
from trefoilpulley_node.coordination.dump import CoordinationState
from trefoilpulley_node.coordination.dump import DatabaseState
from trefoilpulley_node.coordination.dump import ShardState
from trefoilpulley_node.entry.entry_state import EntryState
from trefoilpulley_node import events
from trefoilpulley_node.membership_runner import MembershipState
from trefoilpulley_node.pooler.pooler_state import MemberState
from trefoilpulley_node.pooler.pooler_state import PoolerState

SECTIONS = {
    'entry': EntryState,
    'entry.classes': ClassReport,
    'pooler': PoolerState,
    'pooler.members': MemberState,
    'membership': MembershipState,
    'membership.zones': ZoneHosts,
    'configuration': ConfigurationState,
    'coordination': CoordinationState,
    'coordination.shards': ShardState,
    'coordination.shards.databases': DatabaseState,
}
"""Data class of each section of the dump."""


class OperationsPageSteps:
    """Steps that compare the page with the code."""

    @staticmethod
    @then('each section of the state dump has a row for each field')
    def expect_fields(context: Any) -> None:
        """Compare names of fields."""
        for section, kind in SECTIONS.items():
            expected = {f.name for f in fields(kind)}
            found = context.words.get(f'`{section}`', set())
            assert found == expected, (section, found ^ expected)

    @staticmethod
    @when('the alarms of the page "{path}" are read')
    def read_alarms(context: Any, path: str) -> None:
        """Collect the event numbers."""
        text = Path(path).read_text().partition('## Alarms')[2]
        context.numbers = {int(n) for n in re.findall(r'\b1\d{3}\b', text)}

    @staticmethod
    @then('each event number of the alarms is in the code')
    def expect_events(context: Any) -> None:
        """Compare with the catalogue of events."""
        known = {
            e.number for e in vars(events).values() if type(e) is events.Event
        }
        assert context.numbers, 'the page names no event'
        assert context.numbers <= known, context.numbers - known

    @staticmethod
    @when('the links of the page "{path}" are read')
    def read_links(context: Any, path: str) -> None:
        """Collect the targets of the links."""
        context.folder = Path(path).parent
        found = re.findall(r'\]\(([^)#:]+)', Path(path).read_text())
        context.links = {context.folder / target for target in found}

    @staticmethod
    @then('each link leads to a file')
    def expect_files(context: Any) -> None:
        """Look for the targets."""
        assert context.links, 'the page has no link'
        missing = {str(p) for p in context.links if not p.is_file()}
        assert not missing, missing

    @staticmethod
    @then('each page of "{folder}" is linked')
    def expect_linked(context: Any, folder: str) -> None:
        """Compare with the files of the folder."""
        missing = set(Path(folder).glob('*.md')) - context.links
        assert not missing, f'add to {context.folder}: {missing}'
