"""Start and termination of a stand-in process."""

from __future__ import annotations

import json
import signal

import click
import gevent
from gevent.event import Event


_WAIT_INTERVAL_S = 3600.0


def announce_ports(name: str, **ports: int) -> None:
    """Print a JSON line with the ports on which a server now listens."""
    click.echo(json.dumps({'name': name, **ports}))


def wait_for_termination() -> None:
    """Wait until the process receives SIGTERM or SIGINT."""
    terminated = Event()
    gevent.signal_handler(signal.SIGTERM, terminated.set)
    gevent.signal_handler(signal.SIGINT, terminated.set)
    # The timeout keeps the event loop alive in a process without sockets.
    while not terminated.wait(_WAIT_INTERVAL_S):
        continue
