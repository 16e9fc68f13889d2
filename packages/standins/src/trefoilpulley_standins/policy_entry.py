"""Fake entry host on a virtual clock that uses a real routing policy."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.routing import DatabaseView
from trefoilpulley_core.routing import MemberView

if TYPE_CHECKING:
    from collections.abc import Generator

    from trefoilpulley_core.routing import Route
    from trefoilpulley_core.routing import RouteRequest
    from trefoilpulley_core.routing import RoutingPolicy
    from trefoilpulley_standins.policy_loop import VirtualLoop
    from trefoilpulley_standins.policy_pooler import FakePooler

DIGEST_INTERVAL_S = 0.25
"""Time between two requests for the members' digests, in seconds."""

INTRA_ZONE_DELAY_S = 0.0005
"""One-way delay between hosts of the same availability zone, in seconds."""


class FakeEntryHost:
    """Entry host that routes requests by a policy and its view of the members.

    Parameters
    ----------
    loop : VirtualLoop
        Virtual clock.
    policy : RoutingPolicy
        Routing policy to simulate.
    zone : str
        Availability zone of the host.
    names : tuple[str, ...]
        Names of the members.
    zones : tuple[str, ...]
        Availability zones of the members.
    poolers : tuple[FakePooler, ...]
        Poolers of the members.
    one_way_delay_s : float
        One-way delay between two availability zones, in seconds.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        policy: RoutingPolicy,
        zone: str,
        names: tuple[str, ...],
        zones: tuple[str, ...],
        poolers: tuple[FakePooler, ...],
        one_way_delay_s: float,
    ) -> None:
        self._loop = loop
        self._policy = policy
        self.zone = zone
        """Availability zone of the host."""

        self._names = names
        self._poolers = dict(zip(names, poolers, strict=True))
        self._delays_s = {
            name: INTRA_ZONE_DELAY_S if z == zone else one_way_delay_s
            for name, z in zip(names, zones, strict=True)
        }
        self._views = {
            name: MemberView(
                name, z, None, 0.0, 2000 * self._delays_s[name], False
            )
            for name, z in zip(names, zones, strict=True)
        }

    def poll_digests(self) -> Generator[Any, Any, None]:
        """Request the members' digests periodically, as a process."""
        while True:
            for name in self._names:
                self._loop.spawn(self._fetch_digest(name))
            yield DIGEST_INTERVAL_S

    def read(
        self, req: RouteRequest, tenant: str, service_s: float
    ) -> Generator[Any, Any, Result[Route, Failure]]:
        """Execute a read; retry at another member when a replica is behind."""
        while self._loop.now < req.deadline:
            routed = self._policy.choose(self._view(), req, self._loop.now)
            if not isinstance(routed, Success):
                return routed
            route = routed.unwrap()
            result = yield from self._read_at_member(
                req, route, tenant, service_s
            )
            if isinstance(result, Success):
                return routed
            if not isinstance(result.failure(), ReplicaBehind):
                return result
            excluded = req.excluded | {route.member}
            req = replace(req, excluded=excluded)
        return Failed(NoUpstream('deadline exceeded before a member answered'))

    def write(
        self, req: RouteRequest, tenant: str, service_s: float
    ) -> Generator[Any, Any, Result[Any, Failure]]:
        """Execute a write at the primary."""
        routed = self._policy.choose(self._view(), req, self._loop.now)
        if not isinstance(routed, Success):
            return routed
        name = routed.unwrap().member
        sent_at = self._loop.now
        yield self._delays_s[name]
        pooler = self._poolers[name]
        pooler_req = self._make_pooler_request(req, name)
        result = yield from pooler.write(pooler_req, tenant, service_s)
        digest = pooler.digest()
        yield self._delays_s[name]
        self._update_view(digest, sent_at)
        return result

    def _read_at_member(
        self, req: RouteRequest, route: Route, tenant: str, service_s: float
    ) -> Generator[Any, Any, Result[None, Failure]]:
        sent_at = self._loop.now
        yield self._delays_s[route.member]
        pooler = self._poolers[route.member]
        pooler_req = self._make_pooler_request(req, route.member)
        result = yield from pooler.read(pooler_req, route, tenant, service_s)
        digest = pooler.digest()
        yield self._delays_s[route.member]
        self._update_view(digest, sent_at)
        return result

    def _make_pooler_request(
        self, req: RouteRequest, name: str
    ) -> RouteRequest:
        """Return the request with the deadline less the answer's delay."""
        return replace(req, deadline=req.deadline - self._delays_s[name])

    def _fetch_digest(self, name: str) -> Generator[Any, Any, None]:
        sent_at = self._loop.now
        yield self._delays_s[name]
        digest = self._poolers[name].digest()
        yield self._delays_s[name]
        self._update_view(digest, sent_at)

    def _update_view(self, digest: Any, sent_at: float) -> None:
        known = self._views[digest.member]
        if known.digest is not None and sent_at < known.observed_at:
            return
        self._views[digest.member] = replace(
            known, digest=digest, observed_at=sent_at
        )

    def _view(self) -> DatabaseView:
        members = tuple(self._views[name] for name in self._names)
        return DatabaseView('replayed/0', members)
