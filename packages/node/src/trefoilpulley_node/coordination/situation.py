"""What the coordinator role learns from the rest of the process."""

from __future__ import annotations

import abc
from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Catalog
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.declarations import Declarations

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.coordination.commands import Notice
    from trefoilpulley_core.failure import Failure


@dataclass(frozen=True, slots=True)
class Situation:
    """Deployment as this host sees it now."""

    catalog: Catalog
    """Database groups."""

    declarations: Declarations
    """Declarations in force."""

    live_hosts: tuple[HostEntry, ...]
    """Hosts that are alive and not leaving, this one among them."""


class PoolerCaller(abc.ABC):
    """Sends control messages to the host that pools a member."""

    @abc.abstractmethod
    def call_pooler(
        self, member: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a message and wait for its reply."""


class NoticeListener(abc.ABC):
    """Takes what operators want to see in the log."""

    @abc.abstractmethod
    def on_notice(self, notice: Notice) -> None:
        """Take one notice."""
