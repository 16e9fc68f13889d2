"""Runs members until the process receives SIGTERM or SIGINT."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_standins._process import announce_ports
from trefoilpulley_standins._process import wait_for_termination
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
        announce_ports(
            server.engine.name,
            port=server.port,
            replication_port=server.replication_port,
        )
    wait_for_termination()
    for server in servers:
        server.stop()
