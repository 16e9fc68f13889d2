"""Copy of a connection queue for the explanation of routes."""

from __future__ import annotations

import copy
from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.direct.connection_queue import ConnectionQueue

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.direct.connection_request import ConnectionRequest


class QueuePreview(ConnectionQueue):
    """Copy of a queue, to find out what it would do with new work."""

    def __init__(self) -> None:
        super().__init__()
        self.wait_s: float | None = None
        """Wait that was last expected, in seconds."""

    @classmethod
    def of(
        cls,
        queue: ConnectionQueue,
        make_handle: Callable[[ConnectionRequest], Any],
    ) -> QueuePreview:
        """Return a copy of a queue.

        Parameters
        ----------
        queue : ConnectionQueue
            Queue to copy.
        make_handle : Callable[[ConnectionRequest], Any]
            Returns the handle of a copied piece of work, so that its user is
            not resumed.
        """
        preview = cls()
        # Every reference to a piece of work becomes one to its copy. What the
        # work declares is frozen, and copying it would take most of the time.
        memo = {
            id(work): replace(work, handle=make_handle(work.request))
            for lane in queue._lanes.values()
            for work in lane
        }
        vars(preview).update(copy.deepcopy(vars(queue), memo))
        return preview

    def expected_wait_s(
        self,
        request: ConnectionRequest,
        now: float,
        servers: int,
        mean_hold_s: float,
    ) -> float:
        """Return the expected queueing time of new work, in seconds."""
        self.wait_s = super().expected_wait_s(
            request, now, servers, mean_hold_s
        )
        return self.wait_s
