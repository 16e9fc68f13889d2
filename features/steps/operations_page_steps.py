"""Steps on the pages for operators."""

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
"""Data class of each section of the state dump."""


class OperationsPageSteps:
    """Steps that compare the pages for operators with the code."""

    @staticmethod
    @then('each section of the state dump has a row for each field')
    def check_fields(context: Any) -> None:
        """Compare the rows of each section with the fields of its class."""
        for section, kind in SECTIONS.items():
            expected = {f.name for f in fields(kind)}
            found = context.words.get(f'`{section}`', set())
            assert found == expected, (section, found ^ expected)

    @staticmethod
    @when('the alarms of the page "{path}" are read')
    def read_alarms(context: Any, path: str) -> None:
        """Collect the event numbers in the section on alarms."""
        text = Path(path).read_text().partition('## Alarms')[2]
        context.numbers = {int(n) for n in re.findall(r'\b1\d{3}\b', text)}

    @staticmethod
    @then('each event number of the alarms is in the code')
    def check_events(context: Any) -> None:
        """Check that the code defines each event number."""
        known = {
            e.number for e in vars(events).values() if type(e) is events.Event
        }
        assert context.numbers, 'the section on alarms names no event'
        assert context.numbers <= known, context.numbers - known

    @staticmethod
    @when('the links of the page "{path}" are read')
    def read_links(context: Any, path: str) -> None:
        """Collect the files to which the page links."""
        context.folder = Path(path).parent
        found = re.findall(r'\]\(([^)#:]+)', Path(path).read_text())
        context.links = {context.folder / target for target in found}

    @staticmethod
    @then('each link leads to a file')
    def check_files(context: Any) -> None:
        """Check that each linked file exists."""
        assert context.links, 'the page has no link'
        missing = {str(p) for p in context.links if not p.is_file()}
        assert not missing, missing

    @staticmethod
    @then('each page of "{folder}" is linked')
    def check_linked(context: Any, folder: str) -> None:
        """Check that the page links to each Markdown file of the folder."""
        missing = set(Path(folder).glob('*.md')) - context.links
        assert not missing, (
            f'pages without a link in {context.folder}: {missing}'
        )
