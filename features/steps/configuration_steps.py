"""Steps on configuration."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from hypothesis import strategies
from returns.result import Failure as Failed
from returns.result import Success

from features.fakes.configuration_schedule import ConfigurationSchedule
from features.fakes.configuration_schedule import FaultKind
from features.fakes.configuration_trace import ConfigurationReplay
from features.fakes.configuration_trace import make_configuration
from features.fakes.configuration_trace import TakesAnyRevision
from features.fakes.fake_platform import FakePlatform
from features.fakes.fake_platform import Fault
from features.fakes.generated import find_violation
from features.fakes.membership_schedule import make_schedules
from trefoilpulley_core.configuration.change import AppliedChange
from trefoilpulley_core.configuration.change import ChangeConflict
from trefoilpulley_core.configuration.change import ChangeNotApplied
from trefoilpulley_core.configuration.change import ChangeUnknown
from trefoilpulley_core.configuration.change import read_configuration
from trefoilpulley_core.configuration.change import submit_change
from trefoilpulley_core.configuration.document import encode_configuration
from trefoilpulley_core.configuration.holder import ConfigurationStore
from trefoilpulley_core.configuration.messages import DocumentKind
from trefoilpulley_core.declarations import Configuration
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.keys import CONFIGURATION_KEY
from trefoilpulley_core.platform import PlatformAnswerLost
from trefoilpulley_standins.document_fleet import DocumentFleet
from trefoilpulley_standins.membership_fleet import make_entries

if TYPE_CHECKING:
    from collections.abc import Callable

EXAMPLES = 300
"""Generated cases."""

SCHEDULE_EXAMPLES = 15
"""Generated schedules of faults."""

NOTHING = Declarations()
"""Declarations of every change."""


@dataclass
class RivalPlatform(FakePlatform):
    """Service at which others write around one's own writes."""

    before_lost: list[str] = field(default_factory=list)
    """Changes that overtake a write which is then lost."""

    after_lost: list[str] = field(default_factory=list)
    """Changes that follow a write whose answer is lost."""

    is_holding_next: bool = False
    """Whether the next write is kept back and its answer lost."""

    held: list[tuple[Any, ...]] = field(default_factory=list)
    """Writes that are kept back."""

    def compare_and_swap(self, *args: Any, **kwargs: Any) -> Any:
        """Write amid the ordered rivals."""
        if self.is_holding_next:
            self.is_holding_next = False
            self.held.append(args)
            return Failed(PlatformAnswerLost())
        if self.before_lost:
            submit_change(self, NOTHING, self.before_lost.pop())
            super().compare_and_swap(*args, **kwargs)
            return Failed(PlatformAnswerLost())
        if self.after_lost:
            rival = self.after_lost.pop()
            super().compare_and_swap(*args, **kwargs)
            submit_change(self, NOTHING, rival)
            return Failed(PlatformAnswerLost())
        return super().compare_and_swap(*args, **kwargs)

    def release(self) -> None:
        """Let the writes that were kept back arrive."""
        for args in self.held:
            super().compare_and_swap(*args)


class ConfigurationSteps:
    """Steps that change and spread the declarations."""

    @staticmethod
    @given('the configuration change "{change}" is in force')
    def apply_change(context: Any, change: str) -> None:
        """Apply a change without any fault."""
        applied = submit_change(_platform(context), NOTHING, change)
        assert isinstance(applied, Success)

    @staticmethod
    @given('the next configuration write has the fault "{fault}"')
    def order_fault(context: Any, fault: str) -> None:
        """Order one fault."""
        _platform(context).faults = [Fault(fault)]

    @staticmethod
    @given('every configuration write is lost without effect')
    def order_faults(context: Any) -> None:
        """Order more faults than there are attempts."""
        _platform(context).faults = [Fault.LOST_BEFORE] * 50

    @staticmethod
    @given("the platform's service is out for configuration changes")
    def order_outage(context: Any) -> None:
        """Begin an outage."""
        _platform(context).take_down()

    @staticmethod
    @given(
        'the configuration change "{change}" comes after the next lost write'
    )
    def order_follower(context: Any, change: str) -> None:
        """Let a rival follow."""
        _platform(context).after_lost = [change]

    @staticmethod
    @given('the configuration change "{change}" overtakes the next lost write')
    def order_overtaker(context: Any, change: str) -> None:
        """Let a rival come first."""
        _platform(context).before_lost = [change]

    @staticmethod
    @given('the next configuration write is lost and arrives late')
    def order_late_write(context: Any) -> None:
        """Keep the next write back."""
        _platform(context).is_holding_next = True

    @staticmethod
    @when('the late configuration write arrives')
    def release_write(context: Any) -> None:
        """Let the write arrive."""
        assert context.platform.held
        context.platform.release()

    @staticmethod
    @when('the configuration change "{change}" is submitted')
    def submit(context: Any, change: str) -> None:
        """Submit a change upon any revision."""
        context.outcome = submit_change(_platform(context), NOTHING, change)

    @staticmethod
    @when(
        'the configuration change "{change}" is submitted '
        'upon revision {revision:d}'
    )
    def submit_upon(context: Any, change: str, revision: int) -> None:
        """Submit a change upon one revision."""
        context.outcome = submit_change(
            _platform(context), NOTHING, change, revision
        )

    @staticmethod
    @then('the configuration change is applied as revision {revision:d}')
    def check_applied(context: Any, revision: int) -> None:
        """Expect the change to be applied."""
        assert context.outcome == Success(AppliedChange(revision)), (
            context.outcome
        )

    @staticmethod
    @then('the configuration change is refused as a conflict')
    def check_conflict(context: Any) -> None:
        """Expect a conflict."""
        assert isinstance(context.outcome.failure(), ChangeConflict)

    @staticmethod
    @then('the configuration change is not applied')
    def check_not_applied(context: Any) -> None:
        """Expect that nothing was written."""
        assert isinstance(context.outcome.failure(), ChangeNotApplied)
        assert not context.platform.values

    @staticmethod
    @then('the configuration change stays unknown')
    def check_unknown(context: Any) -> None:
        """Expect no claim."""
        assert isinstance(context.outcome.failure(), ChangeUnknown)

    @staticmethod
    @then("the platform's service holds the configuration change \"{change}\"")
    def check_held(context: Any, change: str) -> None:
        """Compare the change in force."""
        stored = read_configuration(context.platform).unwrap()
        assert stored.configuration.change_id == change

    @staticmethod
    @then("the platform's service holds {count:d} configuration changes")
    def check_count(context: Any, count: int) -> None:
        """Compare the changes that have been applied."""
        stored = read_configuration(context.platform).unwrap()
        assert stored.configuration.revision == count
        assert len(_applied(context.platform)) == count

    @staticmethod
    @then('any faults and rivals leave true answers to configuration changes')
    def check_truth(context: Any) -> None:
        """Submit under generated faults and compare with the service."""
        violation = _find_untruth(submit_change)
        assert violation is None, violation

    @staticmethod
    @then('a writer that takes a lost answer for a failure is noticed')
    def check_truth_bites(context: Any) -> None:
        """Expect the careless writer to say what is not true."""
        assert _find_untruth(_submit_carelessly) is not None

    @staticmethod
    @given('a configuration holder that takes any revision')
    def break_holder(context: Any) -> None:
        """Break the rule of the holder."""
        context.make_holder = TakesAnyRevision

    @staticmethod
    @when('the configuration trace "{trace}" is replayed')
    def replay_trace(context: Any, trace: str) -> None:
        """Replay a trace."""
        make = getattr(context, 'make_holder', ConfigurationStore)
        context.replay = ConfigurationReplay(make)
        context.replay.replay(trace)

    @staticmethod
    @then('every outcome stated beside the configuration trace holds')
    def check_outcomes(context: Any) -> None:
        """Expect no wrong outcome, and some outcome."""
        context.replay.check_outcomes()

    @staticmethod
    @then('an outcome stated beside the configuration trace fails')
    def check_bite(context: Any) -> None:
        """Expect the broken rule to be noticed."""
        assert context.replay.failed_outcomes

    @staticmethod
    @then(
        'configuration offers in any order and number never lower the revision'
    )
    def check_never_back(context: Any) -> None:
        """Offer generated revisions."""

        def offer(revisions: list[int]) -> None:
            holder = ConfigurationStore()
            greatest = 0
            for revision in revisions:
                holder.accept(make_configuration(revision))
                greatest = max(greatest, revision)
                assert holder.configuration.revision == greatest
                assert holder.versions.configuration == greatest

        orders = strategies.lists(strategies.integers(0, 9))
        violation = find_violation(offer, EXAMPLES, orders)
        assert violation is None, violation

    @staticmethod
    @then(
        'amid any {count:d} faults the configuration never goes back '
        'and reaches every host'
    )
    def check_schedules(context: Any, count: int) -> None:
        """Run generated schedules."""
        violation = _run_schedules(count, ConfigurationStore)
        assert violation is None, violation

    @staticmethod
    @then('some {count:d} faults let the configuration go back')
    def check_schedules_bite(context: Any, count: int) -> None:
        """Expect the broken rule to be noticed."""
        assert _run_schedules(count, context.make_holder) is not None

    @staticmethod
    @given(
        'a configuration fleet of {zones:d} zones with {hosts:d} hosts each'
    )
    def make_fleet(context: Any, zones: int, hosts: int) -> None:
        """Start a fleet and let it settle."""
        context.zones = zones
        context.fleet = DocumentFleet(3)
        entries = make_entries(zones, hosts)
        for entry in entries:
            context.fleet.add(entry.name, entry.zone, 'r0', entries)
        context.fleet.run(15.0)
        context.fleet.service.calls.clear()

    @staticmethod
    @when('the configuration fleet rests for {duration:d} s')
    def rest(context: Any, duration: int) -> None:
        """Let time pass."""
        context.duration_s = duration
        context.fleet.run(duration)

    @staticmethod
    @when('the configuration changes {count:d} times')
    def change(context: Any, count: int) -> None:
        """Write changes, each in force before the next."""
        context.changes = count
        for revision in range(1, count + 1):
            context.fleet.publish(make_configuration(revision))
            context.fleet.run(1.0)
            revisions = context.fleet.revisions(DocumentKind.CONFIGURATION)
            assert set(revisions.values()) == {revision}

    @staticmethod
    @given('the configuration watches have fallen silent')
    def silence_watches(context: Any) -> None:
        """Lose the watches without a word to their holders."""
        context.fleet.service.watchers.clear()

    @staticmethod
    @when('the configuration is written')
    def write(context: Any) -> None:
        """Write one change."""
        context.fleet.publish(make_configuration(1))

    @staticmethod
    @when('the configuration changes while {count:d} hosts of each zone die')
    def change_amid_deaths(context: Any, count: int) -> None:
        """Write a change and kill hosts that pass it on."""
        fleet = context.fleet
        fleet.publish(make_configuration(1))
        for zone in range(context.zones):
            names = [
                name
                for name, state in fleet.documents.items()
                if name.startswith(f'z{zone}-') and not state.spread.is_watcher
            ]
            for name in names[:count]:
                fleet.stop(name)

    @staticmethod
    @then(
        'the configuration is in force on every live host within {limit:d} s'
    )
    def check_in_force(context: Any, limit: int) -> None:
        """Run the virtual clock until the change is in force."""
        fleet = context.fleet
        kind = DocumentKind.CONFIGURATION
        found = fleet.run_until(
            lambda: set(fleet.revisions(kind).values()) == {1}, limit
        )
        assert found is not None, fleet.revisions(kind)

    @staticmethod
    @then('a configuration watch is in force again within {limit:d} s')
    def check_watch(context: Any, limit: int) -> None:
        """Run the virtual clock until a watch has begun."""
        fleet = context.fleet
        found = fleet.run_until(lambda: fleet.service.watchers, limit)
        assert found is not None

    @staticmethod
    @then(
        "each zone calls the platform's service at most {rate:g} "
        'times a second'
    )
    def check_rate(context: Any, rate: float) -> None:
        """Compare the calls of the zones."""
        calls = context.fleet.service.calls.total()
        assert calls <= rate * context.zones * context.duration_s, calls

    @staticmethod
    @then(
        'each change costs each zone at most {count:d} calls '
        "to the platform's service"
    )
    def check_cost(context: Any, count: int) -> None:
        """Compare the calls for the changes, with the checks taken off."""
        checks = context.zones * 0.5 * context.changes
        calls = context.fleet.service.calls.total() - checks
        assert calls <= count * context.zones * context.changes, calls


def _run_schedules(
    count: int, make_holder: type[ConfigurationStore]
) -> AssertionError | None:
    def run(faults: list[Any], seed: int) -> None:
        ConfigurationSchedule(seed, make_holder).run(faults)

    schedules = make_schedules(tuple(FaultKind), count)
    seeds = strategies.integers(0, 1000)
    return find_violation(run, SCHEDULE_EXAMPLES, schedules, seeds)


def _find_untruth(submit: Callable[..., Any]) -> AssertionError | None:
    faults = strategies.lists(strategies.sampled_from(Fault), max_size=8)
    rivals = strategies.integers(0, 3)

    def run(
        ordered: list[Fault], before: int, after: int, is_late: bool
    ) -> None:
        platform = RivalPlatform()
        platform.before_lost = [f'b{n}' for n in range(before)]
        platform.after_lost = [f'a{n}' for n in range(after)]
        platform.is_holding_next = is_late
        platform.faults = list(ordered)
        outcome = submit(platform, NOTHING, 'mine')
        platform.faults.clear()
        platform.release()
        _check_true(outcome, _applied(platform))

    return find_violation(
        run, EXAMPLES, faults, rivals, rivals, strategies.booleans()
    )


def _submit_carelessly(
    platform: FakePlatform, declarations: Declarations, change_id: str
) -> Any:
    # Takes the first failure for the outcome.
    stored = read_configuration(platform).unwrap()
    value = Configuration(
        stored.configuration.revision + 1, change_id, declarations
    )
    written = platform.compare_and_swap(
        CONFIGURATION_KEY, stored.mod_revision, encode_configuration(value)
    )
    if isinstance(written, Success):
        return Success(AppliedChange(value.revision))
    return Failed(ChangeNotApplied())


def _platform(context: Any) -> RivalPlatform:
    if not hasattr(context, 'platform'):
        context.platform = RivalPlatform()
    return context.platform


def _applied(platform: FakePlatform) -> list[str]:
    stored = read_configuration(platform).unwrap().configuration
    known = (stored.change_id, *stored.recent_changes)
    return [change for change in known if change]


def _check_true(outcome: Any, applied: list[str]) -> None:
    assert applied.count('mine') <= 1
    if isinstance(outcome, Success):
        assert 'mine' in applied
    elif isinstance(outcome.failure(), ChangeNotApplied):
        assert 'mine' not in applied
    else:
        assert isinstance(outcome.failure(), ChangeUnknown)
