"""Gives up the members that another host pools by now."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from trefoilpulley_node.directory import Directory
    from trefoilpulley_node.pooler.pooler import Pooler

CHECK_S = 2.0
"""Time between two looks at the owners of the pooled members."""


class PoolOwnershipMonitor(Service):
    """Releases members whose owner by rendezvous hashing has changed.

    Parameters
    ----------
    host : str
        Name of this host.
    directory : Directory
        Finds the owner of a member.
    pooler : Pooler
        Pooler role of this host.
    """

    def __init__(
        self, host: str, directory: Directory, pooler: Pooler
    ) -> None:
        self._host = host
        self._directory = directory
        self._pooler = pooler
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to look."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the looks."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_S)
            for name in list(self._pooler.members):
                if self._directory.find_pooler(name) != self._host:
                    self._pooler.release_member(name)
