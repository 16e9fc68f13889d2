"""Deployment processes with several members per process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_standins.member.settings import dump_group
from trefoilpulley_standins.member.settings import GroupSettings
from trefoilpulley_standins.processes import Processes

if TYPE_CHECKING:
    from pathlib import Path

    from trefoilpulley_standins.layout import Layout

MEMBERS_PER_PROCESS = 24
"""Maximum number of members in one process."""


class GroupedProcesses(Processes):
    """Processes of a deployment that run the members in groups.

    Parameters
    ----------
    layout : Layout
        Layout of the deployment to start.
    directory : Path
        Directory of the settings files and logs.
    """

    def __init__(self, layout: Layout, directory: Path) -> None:
        super().__init__(layout, directory)
        members = layout.members.members
        self._groups = {
            members[first].name: members[first : first + MEMBERS_PER_PROCESS]
            for first in range(0, len(members), MEMBERS_PER_PROCESS)
        }
        self._settings_directory = directory

    def start_member(self, name: str) -> None:
        """Start the process whose first member has this name.

        Names of other members are ignored, because the process of the first
        member of the group runs them.
        """
        group = self._groups.get(name)
        if group is None:
            return
        key = f'group-{name.replace("/", "-")}'
        path = self._settings_directory / f'{key}.json'
        path.write_text(dump_group(GroupSettings(group)), encoding='utf-8')
        self._start_module('group', path, key=key)
