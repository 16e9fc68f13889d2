"""Logs the notices of the coordinator role."""

from __future__ import annotations

from dataclasses import fields
from typing import TYPE_CHECKING

from trefoilpulley_node.coordination.deployment_view import NoticeListener
from trefoilpulley_node import events

if TYPE_CHECKING:
    from trefoilpulley_core.coordination.commands import Notice


class NoticeLog(NoticeListener):
    """Logs each notice with its type and its fields as strings."""

    def on_notice(self, notice: Notice) -> None:
        """Log one notice."""
        details = {f.name: getattr(notice, f.name) for f in fields(notice)}
        details = {k: str(v) for k, v in details.items()}
        events.COORDINATION_NOTICE.log(
            notice=type(notice).__name__, details=details
        )
