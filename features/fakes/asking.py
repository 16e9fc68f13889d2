"""Requests to the hosts of an emulated deployment."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import gevent

from trefoilpulley_emulator.caller import CallerAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

HANG_TIMEOUT_S = 60.0
"""Maximum wait of a step, in seconds; only a hang takes this long."""

POLL_INTERVAL_S = 0.05
"""Pause between two checks of a condition, in seconds."""


def wait_until(is_done: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    Parameters
    ----------
    is_done : Callable[[], bool]
        Condition to check repeatedly.

    Raises
    ------
    AssertionError
        If the condition does not hold within `HANG_TIMEOUT_S`.
    """
    with gevent.Timeout(HANG_TIMEOUT_S, AssertionError('hung')):
        while not is_done():
            gevent.sleep(POLL_INTERVAL_S)


def execute_once(
    context: Any, database: str, host: int, text: str
) -> CallerAnswer:
    """Execute a statement in a new session.

    Returns
    -------
    CallerAnswer
        Answer, or only the error code if the host rejects the session.
    """
    caller = context.deployment.hosts[host].connect(database)
    try:
        if not caller.greeting.startswith('READY'):
            return CallerAnswer(caller.greeting.split()[1], (), '', '')
        return caller.execute(text)
    finally:
        caller.close()
