"""Steps on soak runs in which changes of primary are given up."""

from __future__ import annotations

import shutil
from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_emulator.member_server import MemberRun
from trefoilpulley_emulator.promotion_server import ReceivedOrder
from trefoilpulley_emulator.soak.changes import draw_changes
from trefoilpulley_emulator.soak.changes import find_foreign_values
from trefoilpulley_emulator.soak.changes import find_orders_in_touch
from trefoilpulley_emulator.soak.changes import find_turns
from trefoilpulley_emulator.soak.changes import SessionSetting
from trefoilpulley_emulator.soak.faults import FaultKind
from trefoilpulley_emulator.soak.faults import Profile
from trefoilpulley_emulator.soak.guarantees import FaultInterval
from trefoilpulley_emulator.soak.soak import Soak

OUT_OF_TOUCH_HOST = 'x'


class ChangeSoakSteps:
    """Steps on the profile ``changes`` of the soak."""

    @staticmethod
    @when(
        'changes are given up with seed {seed:d}, {hosts:d} hosts and '
        '{connections:d} connections'
    )
    def run(context: Any, seed: int, hosts: int, connections: int) -> None:
        """Run a seed; keep the logs of a failure."""
        soak = Soak(seed, hosts, 0.0, connections, Profile.CHANGES)
        context.violations = soak.run()
        if not context.violations:
            shutil.rmtree(soak.directory)

    @staticmethod
    @when(
        'the primary and the promotion service are cut off with seed '
        '{seed:d}, {hosts:d} hosts and {connections:d} connections'
    )
    def run_cuts(
        context: Any, seed: int, hosts: int, connections: int
    ) -> None:
        """Run a seed of the profile ``cuts``; keep the logs of a failure."""
        ChangeSoakSteps._run_profile(
            context, Soak(seed, hosts, 0.0, connections, Profile.CUTS)
        )

    @staticmethod
    @when(
        'a zone is cut off in changes of primary with seed {seed:d}, '
        '{hosts:d} hosts and {connections:d} connections'
    )
    def run_zone_cuts(
        context: Any, seed: int, hosts: int, connections: int
    ) -> None:
        """Run a seed of the profile ``zones``; keep the logs of a failure."""
        ChangeSoakSteps._run_profile(
            context, Soak(seed, hosts, 0.0, connections, Profile.ZONES)
        )

    @staticmethod
    def _run_profile(context: Any, soak: Soak) -> None:
        context.violations = soak.run()
        if not context.violations:
            shutil.rmtree(soak.directory)

    @staticmethod
    @then(
        'seed {seed:d} silences the primary while orders are late or refused, '
        'and the same way each time'
    )
    def check_by_seed(context: Any, seed: int) -> None:
        """Check the faults of a seed."""
        names = ('h0', 'h1'), ('m0', 'm1', 'm2')
        faults = draw_changes(seed, *names)
        assert faults == draw_changes(seed, *names)
        kinds = [f.kind for f in faults]
        rounds = kinds.count(FaultKind.CRASH_PRIMARY)
        late = kinds.count(FaultKind.LATE_ORDERS)
        assert rounds == late + kinds.count(FaultKind.NO_ORDERS) >= 2, faults


class ChangeCheckerSteps:
    """Steps on the checks of the profile."""

    @staticmethod
    @given(
        'a cut of {cut_s:d} s in which the orders at {times} s are held back'
    )
    def cut(context: Any, cut_s: int, times: str) -> None:
        """Deliver the orders of two hosts in turn."""
        orders = [
            ReceivedOrder(float(at), 'ab'[i % 2], 'm')
            for i, at in enumerate(times.split(', '))
        ]
        known = find_orders_in_touch(orders, [FaultInterval(0.0, cut_s)])
        context.found = list(find_turns(known, []))

    @staticmethod
    @given('promotions are ordered by {hosts}, {interval_s:g} s apart')
    def order(context: Any, hosts: str, interval_s: float) -> None:
        """Check orders of hosts, one of which is not in touch."""
        orders = [
            ReceivedOrder(i * interval_s, h, 'm')
            for i, h in enumerate(hosts.split(', '))
        ]
        context.found = list(find_turns(orders, [OUT_OF_TOUCH_HOST]))

    @staticmethod
    @given('a member runs "{text}" with {values} and the shape "{shape}"')
    @given('a member runs "{text}" with {values} and the shape ""')
    def run_statement(
        context: Any, text: str, values: str, shape: str = ''
    ) -> None:
        """Check a run against what was acknowledged to its caller."""
        pairs = () if values == 'nothing' else (tuple(values.split()),)
        run = MemberRun('host', 'q1', text, 0.0, pairs, shape)
        setting = SessionSetting((('clan', 'one'),), 'WRITE q1')
        context.found = list(find_foreign_values([run], {'q1': setting}))

    @staticmethod
    @then('the checker reports {count:d} violations of "{guarantee}"')
    def check_found(context: Any, count: int, guarantee: str) -> None:
        """Compare what was found."""
        assert [v.guarantee for v in context.found] == [guarantee] * count
