"""Releases pooled members that another host owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from trefoilpulley_node.directory import Directory
    from trefoilpulley_node.pooler.pooler import Pooler

OWNER_CHECK_INTERVAL_S = 2.0
"""Interval between checks of the members' owners, in seconds."""


class PoolOwnershipMonitor(Service):
    """Releases pooled members that rendezvous hashing moved to another host.

    Parameters
    ----------
    host : str
        Name of this host.
    directory : Directory
        Finds the host that owns a member.
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
        """Start checking in the background."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop checking."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        while True:
            gevent.sleep(OWNER_CHECK_INTERVAL_S)
            for name in list(self._pooler.members):
                if self._directory.find_pooler(name) != self._host:
                    self._pooler.release_member(name)
