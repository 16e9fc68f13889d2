"""Replay of recorded traces of the document dissemination."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from features.fakes.trace_replay import TraceReplay
from trefoilpulley_core.configuration.document import encode_configuration
from trefoilpulley_core.configuration.document import encode_databases
from trefoilpulley_core.configuration.messages import Document
from trefoilpulley_core.configuration.messages import DocumentKind
from trefoilpulley_core.configuration.messages import make_document
from trefoilpulley_core.configuration.store import ConfigurationStore
from trefoilpulley_core.declarations import Configuration
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_standins.document_fleet import DocumentFleet
from trefoilpulley_standins.membership_fleet import make_entries

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

ZONES = 3
"""Number of zones of the fleet."""

HOSTS = 4
"""Number of hosts of each zone."""


@dataclass(frozen=True, slots=True)
class TraceEvent:
    """One line of a trace."""

    time: float
    """Virtual time in seconds."""

    event: str
    """Name of the event."""

    parties: tuple[str, ...] = ()
    """Names of the hosts or zones that the event concerns."""

    revision: int = 0
    """Revision of the document that is written or offered."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """One line of the expected outcomes of a trace."""

    time: float
    """Virtual time in seconds."""

    at: str
    """Name of a zone or host; ``*`` for every running host."""

    outcome: str
    """``configuration``, ``databases`` or ``watchers``."""

    value: int
    """Expected revision, or number of watchers of each zone."""


class ConfigurationReplay(TraceReplay):
    """Replays a trace of the document dissemination on a virtual clock.

    Parameters
    ----------
    make_holder : Callable[[], ConfigurationStore]
        Makes the document store of a host.
    """

    fleet: DocumentFleet

    def __init__(
        self,
        make_holder: Callable[[], ConfigurationStore] = ConfigurationStore,
    ) -> None:
        fleet = DocumentFleet(seed=7, make_holder=make_holder)
        super().__init__('configuration', TraceEvent, Outcome, fleet)
        self._entries = make_entries(ZONES, HOSTS)

    def holds(self, outcome: Outcome) -> bool:
        """Return whether the hosts have reached the expected outcome."""
        if outcome.outcome == 'watchers':
            found = {self._count_watchers(f'z{z}') for z in range(ZONES)}
        else:
            revisions = self.fleet.revisions(DocumentKind(outcome.outcome))
            found = {
                revisions[name]
                for name in self._hosts_at(outcome.at)
                if name in revisions
            }
        return found == {outcome.value}

    def _hosts_at(self, at: str) -> Iterable[str]:
        for name, host in self.fleet.hosts.items():
            if at in ('*', host.entry.zone, name):
                yield name

    def _count_watchers(self, zone: str) -> int:
        return sum(
            self.fleet.documents[name].spread.is_watcher
            for name, host in self.fleet.hosts.items()
            if host.entry.zone == zone and host.is_up
        )

    def _on_start(self, step: TraceEvent) -> None:
        for entry in self._entries:
            self.fleet.add(entry.name, entry.zone, 'r0', self._entries)

    def _on_start_late(self, step: TraceEvent) -> None:
        name, seed = step.parties
        zone = name.split('-')[0]
        self.fleet.add(name, zone, 'r0', (), (seed,))

    def _on_stop(self, step: TraceEvent) -> None:
        for name in step.parties:
            self.fleet.stop(name)

    def _on_stop_watchers(self, step: TraceEvent) -> None:
        for name, state in self.fleet.documents.items():
            if state.spread.is_watcher:
                self.fleet.stop(name)

    def _on_service_down(self, step: TraceEvent) -> None:
        self.fleet.start_service_outage()

    def _on_service_up(self, step: TraceEvent) -> None:
        self.fleet.end_service_outage()

    def _on_cut_from_service(self, step: TraceEvent) -> None:
        self.fleet.service.cut_zones.update(step.parties)

    def _on_write(self, step: TraceEvent) -> None:
        self.fleet.publish(make_configuration(step.revision))

    def _on_write_databases(self, step: TraceEvent) -> None:
        self.fleet.publish(
            make_document(
                DocumentKind.DATABASES, step.revision, encode_databases(())
            )
        )

    def _on_offer(self, step: TraceEvent) -> None:
        document = make_configuration(step.revision)
        for name in step.parties:
            spread = self.fleet.documents[name].spread
            self.fleet.run_action(
                self.fleet.hosts[name], lambda s=spread: s.on_push(document)
            )

    def _on_offer_malformed(self, step: TraceEvent) -> None:
        text = b'{"revision": 1}'
        document = make_document(
            DocumentKind.CONFIGURATION, step.revision, text
        )
        for name in step.parties:
            spread = self.fleet.documents[name].spread
            self.fleet.run_action(
                self.fleet.hosts[name], lambda s=spread: s.on_push(document)
            )


class AnyRevisionStore(ConfigurationStore):
    """Deliberate fault: accepts any revision, also an older one."""

    def accept(self, document: Document) -> Any:
        """Accept a document regardless of the stored revision."""
        self._documents.pop(document.kind, None)
        return super().accept(document)


def make_configuration(revision: int) -> Document:
    """Return an empty configuration of a revision."""
    value = Configuration(revision, f'c{revision}', Declarations())
    return make_document(
        DocumentKind.CONFIGURATION, revision, encode_configuration(value)
    )
