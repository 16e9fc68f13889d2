"""Batch of changed records that are sent together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.membership.messages import News

if TYPE_CHECKING:
    from trefoilpulley_core.membership.record import HostRecord
    from trefoilpulley_core.membership.record import ZoneRecord


class NewsBatch:
    """Newest record of each host and zone that has changed."""

    def __init__(self) -> None:
        self._hosts: dict[str, HostRecord] = {}
        self._zones: dict[str, ZoneRecord] = {}

    @property
    def is_empty(self) -> bool:
        """Whether the batch has no records."""
        return not self._hosts and not self._zones

    def add_host(self, record: HostRecord) -> None:
        """Add a host's record, replacing an older one."""
        self._hosts[record.entry.name] = record

    def add_zone(self, record: ZoneRecord) -> None:
        """Add a zone's record, replacing an older one."""
        self._zones[record.zone] = record

    def add(self, news: News) -> None:
        """Add the records of a message."""
        for record in news.hosts:
            self.add_host(record)
        for zone_record in news.zones:
            self.add_zone(zone_record)

    def take(self) -> News:
        """Remove and return all records."""
        news = News(tuple(self._hosts.values()), tuple(self._zones.values()))
        self._hosts.clear()
        self._zones.clear()
        return news
