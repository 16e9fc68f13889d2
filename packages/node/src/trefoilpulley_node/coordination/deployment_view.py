"""Interfaces between the coordinator role and the rest of the process."""

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
class DeploymentView:
    """Current view of the deployment from this host."""

    catalog: Catalog
    """Databases, their members and the hosts."""

    declarations: Declarations
    """Declarations in force."""

    live_hosts: tuple[HostEntry, ...]
    """Hosts that are alive and not leaving, including this host."""


class PoolerCaller(abc.ABC):
    """Sends control messages to the poolers of members."""

    @abc.abstractmethod
    def call_pooler(
        self, member: str, message: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Send a message to a member's pooler and wait for the reply."""


class NoticeListener(abc.ABC):
    """Receives the coordinator's notices for operators."""

    @abc.abstractmethod
    def on_notice(self, notice: Notice) -> None:
        """Handle one notice."""
