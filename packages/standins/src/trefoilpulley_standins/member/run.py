"""Runs members until the process receives SIGTERM or SIGINT."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_standins._process import announce
from trefoilpulley_standins._process import wait_until_ended
from trefoilpulley_standins.member.server import MemberServer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_standins.member.settings import MemberSettings


def run_members(settings: Iterable[MemberSettings]) -> None:
    """Run members in this process until SIGTERM or SIGINT.

    Prints a JSON line with the ports of each member once the member
    accepts connections.
    """
    servers = [MemberServer(cfg) for cfg in settings]
    for server in servers:
        server.start()
        announce(
            server.engine.name,
            port=server.port,
            replication_port=server.replication_port,
        )
    wait_until_ended()
    for server in servers:
        server.stop()
