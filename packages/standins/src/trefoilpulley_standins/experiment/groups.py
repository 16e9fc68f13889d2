"""Processes of a deployment whose members share a few of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_standins.member.settings import dump_group
from trefoilpulley_standins.member.settings import GroupSettings
from trefoilpulley_standins.processes import Processes

if TYPE_CHECKING:
    from pathlib import Path

    from trefoilpulley_standins.layout import Layout

GROUP_MEMBERS = 24
"""Members that share a process."""


class GroupedProcesses(Processes):
    """Starts several members in each process.

    Parameters
    ----------
    layout : Layout
        Settings of the processes.
    directory : Path
        Directory of the settings files and logs.
    """

    def __init__(self, layout: Layout, directory: Path) -> None:
        super().__init__(layout, directory)
        members = layout.members.members
        self._groups = {
            members[first].name: members[first : first + GROUP_MEMBERS]
            for first in range(0, len(members), GROUP_MEMBERS)
        }
        self._group_dir = directory

    def start_member(self, name: str) -> None:
        """Start the group whose first member this is."""
        group = self._groups.get(name)
        if group is None:
            return
        key = f'group-{name.replace("/", "-")}'
        path = self._group_dir / f'{key}.json'
        path.write_text(dump_group(GroupSettings(group)), encoding='utf-8')
        self._start_module('group', path, key=key)
