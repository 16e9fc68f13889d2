"""Steps on routing by stale digests."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_core.declarations import Freshness
from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.declarations import Promptness
from trefoilpulley_core.declarations import Safety
from trefoilpulley_core.declarations import WorkClass
from trefoilpulley_core.declarations import WorkKind
from trefoilpulley_core.peer import MemberDigest
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position
from trefoilpulley_core.routing import DatabaseView
from trefoilpulley_core.routing import MemberView
from trefoilpulley_core.routing import RouteRequest
from trefoilpulley_core.routing_targets import TargetRouting

NOW = 100.0
LOOKUP_CLASS = WorkClass(
    'lookup',
    WorkKind.READ,
    Freshness(FreshnessKind.AGE, 2000),
    Promptness(1000, 0.99),
    Safety(),
)


def _view(
    name: str, is_primary: bool, age_ms: int | None, digest_age_s: float
) -> MemberView:
    digest = MemberDigest(
        name, is_primary, 1, Position(1, 9), 1, age_ms, 5, 0, True
    )
    return MemberView(name, name, digest, NOW - digest_age_s, 2.0, False)


class StaleRoutingSteps:
    """Steps on a read that a primary or a replica may serve."""

    @staticmethod
    @given(
        'a primary and a replica whose digest of {digest_age_s:g} s ago states'
        ' an age of {age}'
    )
    def make_view(context: Any, digest_age_s: float, age: str) -> None:
        """Create the view of a database with two members."""
        age_ms = None if age == 'unknown' else int(age.split()[0])
        context.view = DatabaseView(
            'ledger/0',
            (
                _view('primary', True, 0, digest_age_s),
                _view('replica', False, age_ms, digest_age_s),
            ),
        )

    @staticmethod
    @when('a read of at most 2000 ms is routed by these digests')
    def route(context: Any) -> None:
        """Choose the member for the read."""
        req = RouteRequest(LOOKUP_CLASS, BEGINNING, 'replica', NOW + 1)
        context.route = TargetRouting().choose(context.view, req, NOW)

    @staticmethod
    @then('the read goes to the {role:w}')
    def check_route(context: Any, role: str) -> None:
        """Check the chosen member."""
        assert context.route.unwrap().member == role, context.route
