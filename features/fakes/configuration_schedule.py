"""Generated schedules of faults during changes of the declarations."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from features.fakes.configuration_trace import make_configuration
from features.fakes.membership_schedule import MembershipSchedule
from trefoilpulley_core.configuration.messages import DocumentKind
from trefoilpulley_standins.document_fleet import DocumentFleet

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.configuration.store import ConfigurationStore
    from trefoilpulley_core.membership.membership import Membership


class FaultKind(StrEnum):
    """Kinds of faults.

    The schedule changes the declarations between two faults and runs for
    each kind the method of the same name.
    """

    STOP = 'stop'
    STOP_WATCHER = 'stop-watcher'
    RESTART = 'restart'
    PAUSE = 'pause'
    CUT_ZONES = 'cut-zones'
    SERVICE_DOWN = 'service-down'
    SERVICE_UP = 'service-up'
    CUT_SERVICE = 'cut-service'
    SILENCE_WATCHES = 'silence-watches'
    OFFER_OLD = 'offer-old'


class ConfigurationSchedule(MembershipSchedule):
    """Changes the declarations while faults occur.

    Parameters
    ----------
    seed : int
        Seed of the fleet.
    make_holder : Callable[[], ConfigurationStore]
        Makes the document store of a host.
    """

    _fleet: DocumentFleet

    def __init__(
        self, seed: int, make_holder: Callable[[], ConfigurationStore]
    ) -> None:
        self._make_holder = make_holder
        self._revision = 0
        self._last_revisions: dict[str, int] = {}
        super().__init__(seed)

    def _make_fleet(
        self, seed: int, make_membership: Callable[..., Membership]
    ) -> DocumentFleet:
        return DocumentFleet(seed, make_holder=self._make_holder)

    def _start(self, name: str, zone: str) -> None:
        self._last_revisions.pop(name, None)
        super()._start(name, zone)

    def _run(self, duration_s: float) -> None:
        if not self._fleet.service.is_down:
            self._revision += 1
            self._fleet.publish(make_configuration(self._revision))
        super()._run(duration_s)

    def _heal(self) -> None:
        super()._heal()
        self._fleet.service.cut_zones.clear()
        self._fleet.end_service_outage()

    def _check_invariants(self) -> None:
        super()._check_invariants()
        for name, state in self._fleet.documents.items():
            revision = state.holder.configuration.revision
            assert revision == state.holder.versions.configuration, name
            assert revision >= self._last_revisions.get(name, 0), name
            self._last_revisions[name] = revision

    def _check_agreement(self) -> None:
        revisions = self._fleet.revisions(DocumentKind.CONFIGURATION)
        assert set(revisions.values()) <= {self._revision}, revisions

    def _stop_watcher(self, name: str) -> None:
        zone = name.split('-')[0]
        for host, state in self._fleet.documents.items():
            if host.startswith(zone) and state.spread.is_watcher:
                self._fleet.stop(host)

    def _service_down(self, name: str) -> None:
        self._fleet.start_service_outage()

    def _service_up(self, name: str) -> None:
        self._fleet.end_service_outage()

    def _cut_service(self, name: str) -> None:
        self._fleet.service.cut_zones.add(name.split('-')[0])

    def _silence_watches(self, name: str) -> None:
        self._fleet.service.watchers.clear()

    def _offer_old(self, name: str) -> None:
        host = self._fleet.hosts[name]
        spread = self._fleet.documents[name].spread
        if host.is_up:
            document = make_configuration(max(1, self._revision - 1))
            self._fleet.run_action(host, lambda: spread.on_push(document))
            self._check_invariants()
