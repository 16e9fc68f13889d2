"""Runs members until the process is told to end."""

from __future__ import annotations

import json
import signal
from typing import TYPE_CHECKING

import click
import gevent
from gevent.event import Event

from trefoilpulley_standins.member.server import MemberServer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_standins.member.settings import MemberSettings


def run_members(settings: Iterable[MemberSettings]) -> None:
    """Run members in this process until SIGTERM or SIGINT.

    One JSON line for each member tells its ports once it serves.
    """
    ended = Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    gevent.signal_handler(signal.SIGINT, ended.set)
    servers = [MemberServer(cfg) for cfg in settings]
    for server in servers:
        server.start()
        _announce(server)
    ended.wait()
    for server in servers:
        server.stop()


def _announce(server: MemberServer) -> None:
    ready = {
        'name': server.engine.name,
        'port': server.port,
        'replication_port': server.replication_port,
    }
    click.echo(json.dumps(ready))
