"""Dissemination of the documents from the service to every host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.configuration.commands import Fetch
from trefoilpulley_core.configuration.commands import Push
from trefoilpulley_core.configuration.commands import ReadService
from trefoilpulley_core.configuration.commands import SetWatch
from trefoilpulley_core.configuration.messages import DocumentKind
from trefoilpulley_core.rendezvous import rank_hosts

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.configuration.commands import Command
    from trefoilpulley_core.configuration.messages import Document
    from trefoilpulley_core.configuration.store import ConfigurationStore
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.membership.live_hosts import LiveHosts
    from trefoilpulley_core.membership.messages import Versions

POLL_INTERVAL_S = 10.0
"""Time between two reads of the service by a polling host, in seconds.

The reads find changes that a watch has missed.
"""

READ_RETRY_INTERVAL_S = 1.0
"""Time before a read that has failed is repeated, in seconds.

A watch reports a change once, and the read that follows may be lost.
"""

WATCH_RETRY_INTERVAL_S = 0.5
"""Time before a broken watch is restarted, in seconds."""

WATCH_RENEWAL_INTERVAL_S = 60.0
"""Time after which a watch is replaced, in seconds.

A partition can leave the connection of a watch half open. Such a watch
reports neither changes nor an error.
"""

FETCH_RETRY_INTERVAL_S = 1.0
"""Minimum time between two requests for the same document, in seconds."""

OTHER_ZONE_FETCH_DELAY_S = 5.0
"""Delay before a list is fetched from another zone, in seconds.

The platform's lists are the database groups and the hosts. The addresses in a
list depend on the zone that reads the list, so that a copy from this host's
own zone is preferred.
"""

TREE_FANOUT = 4
"""Number of hosts to which each host in the tree forwards a document."""

POLLERS_PER_ZONE = 2
"""Number of hosts in a zone that poll the service.

The first of them also watches the service.
"""


class DocumentDissemination:
    """Decisions of one host in the dissemination of documents.

    One host of each zone watches and polls the service, and a second host
    polls the service. A new document is pushed down a tree of the zone's
    hosts. The order of the hosts in the tree changes with each revision, so
    that each host sends about one copy per revision on average. A host that
    did not receive a push sees a higher revision in the probes of its peers
    and fetches the document from one of them.

    Parameters
    ----------
    host : str
        Name of this host.
    zone : str
        Availability zone of this host.
    store : ConfigurationStore
        Store of the newest documents.
    """

    def __init__(
        self, host: str, zone: str, store: ConfigurationStore
    ) -> None:
        self._host = host
        self._zone = zone
        self._store = store
        self._commands: list[Command] = []
        self._peers: tuple[str, ...] = ()
        self._ranked: tuple[str, ...] = ()
        self._is_watching = False
        self._has_service_answered = False
        self._next_poll_at = 0.0
        self._next_watch_at = 0.0
        self._next_fetch_at: dict[DocumentKind, float] = {}
        self._behind_since: dict[DocumentKind, float] = {}

    @property
    def is_watcher(self) -> bool:
        """Whether this host watches the service for its zone."""
        return self._ranked[:1] == (self._host,)

    @property
    def is_poller(self) -> bool:
        """Whether this host polls the service for its zone."""
        return self._host in self._ranked[:POLLERS_PER_ZONE]

    def take_commands(self) -> tuple[Command, ...]:
        """Remove and return the pending commands, oldest first."""
        commands = tuple(self._commands)
        self._commands.clear()
        return commands

    def on_live_hosts(self, live: LiveHosts) -> None:
        """Update the live hosts of this host's zone."""
        peers = live.hosts_of(self._zone)
        if peers != self._peers:
            self._peers = peers
            self._ranked = rank_hosts(f'watcher/{self._zone}', peers)

    def on_tick(self, now: float) -> None:
        """Run the periodic tasks that are due."""
        self._update_watch(now)
        if now < self._next_poll_at:
            return
        self._next_poll_at = now + POLL_INTERVAL_S
        if self.is_poller or not self._has_service_answered:
            self._commands.append(ReadService())

    def on_watch_event(self) -> None:
        """Read the service after a watch reported a change."""
        self._commands.append(ReadService())

    def on_watch_ended(self, now: float) -> None:
        """Schedule a new watch after the watch has ended."""
        self._is_watching = False
        self._next_watch_at = now + WATCH_RETRY_INTERVAL_S

    def on_read(self, document: Document) -> Result[bool, Failure]:
        """Process a document that was read from the service or a peer."""
        is_first = self._store.revision_of(document.kind) == 0
        accepted = self._accept(document)
        if accepted != Success(True):
            return accepted
        if self.is_watcher:
            self._push(document, self._choose_children(document))
        elif not is_first:
            self._push(document, self._ranked[:1])
        return accepted

    def on_push(self, document: Document) -> Result[bool, Failure]:
        """Process a document that a peer pushed, and forward it if new."""
        accepted = self._accept(document)
        if accepted == Success(True):
            self._push(document, self._choose_children(document))
        return accepted

    def on_read_failed(self, now: float) -> None:
        """Repeat a read that the service has not answered."""
        retry_at = now + READ_RETRY_INTERVAL_S
        self._next_poll_at = min(self._next_poll_at, retry_at)

    def on_service_answered(self) -> None:
        """Record that the service has answered a read."""
        self._has_service_answered = True

    def on_versions(self, host: str, versions: Versions, now: float) -> None:
        """Fetch the documents of which a peer has a newer revision."""
        if versions == self._store.versions:
            return
        peer_revisions = {
            DocumentKind.CONFIGURATION: versions.configuration,
            DocumentKind.DATABASES: versions.databases,
            DocumentKind.HOSTS: versions.hosts,
        }
        for kind, revision in peer_revisions.items():
            if revision > self._store.revision_of(kind):
                self._fetch(host, kind, now)

    def _fetch(self, host: str, kind: DocumentKind, now: float) -> None:
        since = self._behind_since.setdefault(kind, now)
        is_within_delay = now - since < OTHER_ZONE_FETCH_DELAY_S
        is_list = kind is not DocumentKind.CONFIGURATION
        if is_list and is_within_delay and host not in self._peers:
            return
        if now < self._next_fetch_at.get(kind, now):
            return
        self._next_fetch_at[kind] = now + FETCH_RETRY_INTERVAL_S
        self._commands.append(Fetch(host, kind))

    def _update_watch(self, now: float) -> None:
        if self._is_watching and not self.is_watcher:
            self._is_watching = False
            self._next_watch_at = now
            self._commands.append(SetWatch(is_wanted=False))
        if self.is_watcher and now >= self._next_watch_at:
            self._next_watch_at = now + WATCH_RENEWAL_INTERVAL_S
            self._is_watching = True
            self._commands.append(SetWatch(is_wanted=True))
            self._commands.append(ReadService())

    def _accept(self, document: Document) -> Result[bool, Failure]:
        self._next_fetch_at.pop(document.kind, None)
        self._behind_since.pop(document.kind, None)
        return self._store.accept(document)

    def _push(self, document: Document, hosts: tuple[str, ...]) -> None:
        for host in hosts:
            self._commands.append(Push(host, document))

    def _choose_children(self, document: Document) -> tuple[str, ...]:
        if self._host not in self._ranked:
            return ()
        root = self._ranked[0]
        others = tuple(p for p in self._peers if p != root)
        key = f'{document.kind}/{document.revision}'
        order = (root, *rank_hosts(key, others))
        first = TREE_FANOUT * order.index(self._host) + 1
        return order[first : first + TREE_FANOUT]
