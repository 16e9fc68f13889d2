"""Asks the hosts of an emulated deployment."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_emulator.caller import CallerAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

HANG_TIMEOUT_S = 60.0
"""Time after which a scenario counts as hung, in seconds."""

POLL_INTERVAL_S = 0.05
"""Pause between two tries, in seconds."""


def wait_until(is_done: Callable[[], bool]) -> None:
    """Try until a condition holds; only a hang ends it early."""
    with gevent.Timeout(HANG_TIMEOUT_S, AssertionError('hung')):
        while not is_done():
            gevent.sleep(POLL_INTERVAL_S)


def execute_once(
    context: Any, database: str, host: int, text: str
) -> CallerAnswer:
    """Ask on a session of its own."""
    caller = context.deployment.hosts[host].connect(database)
    try:
        if not caller.greeting.startswith('READY'):
            return CallerAnswer(caller.greeting.split()[1], (), '', '')
        return caller.execute(text)
    finally:
        caller.close()
