"""Steps on members' entries and their versions."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.member_versions import MAX_ABSENT_MEMBERS
from trefoilpulley_core.direct.member_versions import MemberVersions


class MemberVersionSteps:
    """Steps on `MemberVersions`."""

    @staticmethod
    @given(
        'a member whose entry {entry:d} of start {start:d} was read in era 1'
    )
    def read(context: Any, entry: int, start: int) -> None:
        """Accept the first entry of a member."""
        context.versions = MemberVersions()
        assert context.versions.accept(_record('m', entry, start), 1)

    @staticmethod
    @when('the entry is absent in era {era:d}')
    def remove(context: Any, era: int) -> None:
        """Tell that the entry is no longer listed."""
        context.versions.remove('m', era)

    @staticmethod
    @when('as many other members leave as are remembered')
    def remove_others(context: Any) -> None:
        """Let other members come and leave."""
        for number in range(MAX_ABSENT_MEMBERS):
            name = f'other-{number}'
            assert context.versions.accept(_record(name, 1, 1), 1)
            context.versions.remove(name, 1)

    @staticmethod
    @when('as many other members as are remembered are missing in era {era:d}')
    def lose_others(context: Any, era: int) -> None:
        """Let other members come in era 1 and be absent in another one."""
        for number in range(MAX_ABSENT_MEMBERS):
            name = f'other-{number}'
            assert context.versions.accept(_record(name, 1, 1), 1)
            context.versions.remove(name, era)

    @staticmethod
    @then(
        'its entry {entry:d} of start {start:d} in era {era:d} is {verdict:w}'
    )
    def check(
        context: Any, entry: int, start: int, era: int, verdict: str
    ) -> None:
        """Check whether an entry is accepted."""
        found = context.versions.accept(_record('m', entry, start), era)
        assert found is (verdict == 'accepted'), found


def _record(member: str, entry: int, start: int) -> MemberRecord:
    endpoint = Endpoint('127.0.0.1', 1)
    return MemberRecord(
        member, 'ledger', endpoint, 'a', False, False, start, entry
    )
