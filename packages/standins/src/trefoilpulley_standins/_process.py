"""Life of a stand-in process."""

from __future__ import annotations

import json
import signal

import click
import gevent
from gevent.event import Event


_LOOK_S = 3600.0


def announce(name: str, **ports: int) -> None:
    """Print one JSON line with the ports of something that now serves."""
    click.echo(json.dumps({'name': name, **ports}))


def wait_until_ended() -> None:
    """Wait for SIGTERM or SIGINT."""
    ended = Event()
    gevent.signal_handler(signal.SIGTERM, ended.set)
    gevent.signal_handler(signal.SIGINT, ended.set)
    # The timeout keeps the event loop alive in a process without sockets.
    while not ended.wait(_LOOK_S):
        continue
