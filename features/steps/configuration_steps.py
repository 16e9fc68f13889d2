"""Steps on changes and the dissemination of the configuration."""

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
from features.fakes.configuration_trace import AnyRevisionStore
from features.fakes.configuration_trace import ConfigurationReplay
from features.fakes.configuration_trace import make_configuration
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
from trefoilpulley_core.configuration.messages import DocumentKind
from trefoilpulley_core.configuration.store import ConfigurationStore
from trefoilpulley_core.declarations import Configuration
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.keys import CONFIGURATION_KEY
from trefoilpulley_core.platform import PlatformAnswerLost
from trefoilpulley_standins.document_fleet import DocumentFleet
from trefoilpulley_standins.membership_fleet import make_entries

if TYPE_CHECKING:
    from collections.abc import Callable

EXAMPLES = 300
"""Number of generated inputs of each check."""

SCHEDULE_EXAMPLES = 15
"""Number of generated schedules of faults."""

EMPTY_DECLARATIONS = Declarations()
"""Declarations that every change contains."""


@dataclass
class ConcurrentWriterPlatform(FakePlatform):
    """Simulates writes of others just before or after the tested write."""

    preceding_changes: list[str] = field(default_factory=list)
    """Identifiers of changes applied before a write whose answer is lost."""

    following_changes: list[str] = field(default_factory=list)
    """Identifiers of changes applied after a write whose answer is lost."""

    is_delaying_next: bool = False
    """Whether the next write is delayed and its answer lost."""

    delayed: list[tuple[Any, ...]] = field(default_factory=list)
    """Arguments of the delayed writes."""

    def compare_and_swap(self, *args: Any, **kwargs: Any) -> Any:
        """Write a value together with the planned writes of others."""
        if self.is_delaying_next:
            self.is_delaying_next = False
            self.delayed.append(args)
            return Failed(PlatformAnswerLost())
        if self.preceding_changes:
            submit_change(
                self, EMPTY_DECLARATIONS, self.preceding_changes.pop()
            )
            super().compare_and_swap(*args, **kwargs)
            return Failed(PlatformAnswerLost())
        if self.following_changes:
            change = self.following_changes.pop()
            super().compare_and_swap(*args, **kwargs)
            submit_change(self, EMPTY_DECLARATIONS, change)
            return Failed(PlatformAnswerLost())
        return super().compare_and_swap(*args, **kwargs)

    def deliver_delayed(self) -> None:
        """Carry out the delayed writes."""
        for args in self.delayed:
            super().compare_and_swap(*args)


class ConfigurationSteps:
    """Steps that change and disseminate the declarations."""

    @staticmethod
    @given('the configuration change "{change}" is in force')
    def apply_change(context: Any, change: str) -> None:
        """Apply a change without a fault."""
        applied = submit_change(_platform(context), EMPTY_DECLARATIONS, change)
        assert isinstance(applied, Success)

    @staticmethod
    @given('the next configuration write has the fault "{fault}"')
    def inject_fault(context: Any, fault: str) -> None:
        """Inject a fault into the next write."""
        _platform(context).faults = [Fault(fault)]

    @staticmethod
    @given('every configuration write is lost without effect')
    def inject_losses(context: Any) -> None:
        """Inject more faults than a change has attempts."""
        _platform(context).faults = [Fault.LOST_BEFORE] * 50

    @staticmethod
    @given("the platform's service fails for configuration changes")
    def start_outage(context: Any) -> None:
        """Start an outage of the platform's service."""
        _platform(context).take_down()

    @staticmethod
    @given('the configuration change "{change}" follows the next lost write')
    def add_following_change(context: Any, change: str) -> None:
        """Plan a change after the next write."""
        _platform(context).following_changes = [change]

    @staticmethod
    @given('the configuration change "{change}" precedes the next lost write')
    def add_preceding_change(context: Any, change: str) -> None:
        """Plan a change before the next write."""
        _platform(context).preceding_changes = [change]

    @staticmethod
    @given('the next configuration write is delayed and its answer lost')
    def delay_next_write(context: Any) -> None:
        """Delay the next write and lose its answer."""
        _platform(context).is_delaying_next = True

    @staticmethod
    @when('the delayed configuration write arrives')
    def deliver_write(context: Any) -> None:
        """Carry out the delayed write."""
        assert context.platform.delayed
        context.platform.deliver_delayed()

    @staticmethod
    @when('the configuration change "{change}" is submitted')
    def submit(context: Any, change: str) -> None:
        """Submit a change without an expected revision."""
        context.outcome = submit_change(
            _platform(context), EMPTY_DECLARATIONS, change
        )

    @staticmethod
    @when(
        'the configuration change "{change}" is submitted '
        'with the expected revision {revision:d}'
    )
    def submit_with_revision(context: Any, change: str, revision: int) -> None:
        """Submit a change with an expected revision."""
        context.outcome = submit_change(
            _platform(context), EMPTY_DECLARATIONS, change, revision
        )

    @staticmethod
    @then('the configuration change is applied as revision {revision:d}')
    def check_applied(context: Any, revision: int) -> None:
        """Expect that the change is applied with this revision."""
        assert context.outcome == Success(AppliedChange(revision)), (
            context.outcome
        )

    @staticmethod
    @then('the configuration change is refused as a conflict')
    def check_conflict(context: Any) -> None:
        """Expect a refusal because of a conflict."""
        assert isinstance(context.outcome.failure(), ChangeConflict)

    @staticmethod
    @then('the configuration change is not applied')
    def check_not_applied(context: Any) -> None:
        """Expect the failure of a change not applied, and no stored value."""
        assert isinstance(context.outcome.failure(), ChangeNotApplied)
        assert not context.platform.values

    @staticmethod
    @then('the outcome of the configuration change is unknown')
    def check_unknown(context: Any) -> None:
        """Expect the failure of an unknown outcome."""
        assert isinstance(context.outcome.failure(), ChangeUnknown)

    @staticmethod
    @then("the platform's service holds the configuration change \"{change}\"")
    def check_stored(context: Any, change: str) -> None:
        """Compare the identifier of the stored change."""
        stored = read_configuration(context.platform).unwrap()
        assert stored.configuration.change_id == change

    @staticmethod
    @then("the platform's service holds {count:d} configuration changes")
    def check_count(context: Any, count: int) -> None:
        """Compare the number of applied changes."""
        stored = read_configuration(context.platform).unwrap()
        assert stored.configuration.revision == count
        assert len(_applied(context.platform)) == count

    @staticmethod
    @then(
        'the outcomes of configuration changes are correct under any faults '
        'and concurrent changes'
    )
    def check_reported_outcomes(context: Any) -> None:
        """Submit under generated faults and concurrent changes."""
        violation = _find_wrong_outcome(submit_change)
        assert violation is None, violation

    @staticmethod
    @then('a writer that takes a lost answer for a failure is detected')
    def check_loss_ignored(context: Any) -> None:
        """Expect that the deliberate fault reports a wrong outcome."""
        assert _find_wrong_outcome(_submit_ignoring_loss) is not None

    @staticmethod
    @given('a configuration store that accepts any revision')
    def break_holder(context: Any) -> None:
        """Use a store that accepts older revisions."""
        context.make_holder = AnyRevisionStore

    @staticmethod
    @when('the configuration trace "{trace}" is replayed')
    def replay_trace(context: Any, trace: str) -> None:
        """Replay a trace with the chosen store."""
        make = getattr(context, 'make_holder', ConfigurationStore)
        context.replay = ConfigurationReplay(make)
        context.replay.replay(trace)

    @staticmethod
    @then('every expected outcome of the configuration trace occurs')
    def check_outcomes(context: Any) -> None:
        """Expect at least one outcome, and none that is wrong."""
        context.replay.check_outcomes()

    @staticmethod
    @then('an expected outcome of the configuration trace does not occur')
    def check_wrong_outcome(context: Any) -> None:
        """Expect that the trace detects the deliberate fault."""
        assert context.replay.failed_outcomes

    @staticmethod
    @then('configurations offered in any order never lower the revision')
    def check_never_lower(context: Any) -> None:
        """Offer generated sequences of revisions to a store."""

        def offer(revisions: list[int]) -> None:
            store = ConfigurationStore()
            highest = 0
            for revision in revisions:
                store.accept(make_configuration(revision))
                highest = max(highest, revision)
                assert store.configuration.revision == highest
                assert store.versions.configuration == highest

        orders = strategies.lists(strategies.integers(0, 9))
        violation = find_violation(offer, EXAMPLES, orders)
        assert violation is None, violation

    @staticmethod
    @then(
        'under any {count:d} faults the configuration never returns to an '
        'older revision and reaches every host'
    )
    def check_schedules(context: Any, count: int) -> None:
        """Run generated schedules of faults."""
        violation = _run_schedules(count, ConfigurationStore)
        assert violation is None, violation

    @staticmethod
    @then(
        'some {count:d} faults return the configuration to an older revision'
    )
    def check_schedules_detect(context: Any, count: int) -> None:
        """Expect that the schedules detect the deliberate fault."""
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
    @when('the configuration fleet runs for {duration:d} s without a change')
    def run_idle(context: Any, duration: int) -> None:
        """Run the virtual clock."""
        context.duration_s = duration
        context.fleet.run(duration)

    @staticmethod
    @when('the configuration changes {count:d} times')
    def change(context: Any, count: int) -> None:
        """Write changes, each one after the previous one is in force."""
        context.changes = count
        for revision in range(1, count + 1):
            context.fleet.publish(make_configuration(revision))
            context.fleet.run(1.0)
            revisions = context.fleet.revisions(DocumentKind.CONFIGURATION)
            assert set(revisions.values()) == {revision}

    @staticmethod
    @given('the configuration watches have become silent')
    def silence_watches(context: Any) -> None:
        """Remove the watches without a notice to the hosts."""
        context.fleet.service.watchers.clear()

    @staticmethod
    @when('the configuration is written')
    def write(context: Any) -> None:
        """Write one change."""
        context.fleet.publish(make_configuration(1))

    @staticmethod
    @when(
        'the configuration is written as the service becomes silent for '
        '{duration:d} s'
    )
    def write_before_silence(context: Any, duration: int) -> None:
        """Write a change whose reports arrive, and lose the reads."""
        fleet = context.fleet
        fleet.publish(make_configuration(1))
        fleet.service.is_down = True
        fleet.run_until(lambda: False, duration)
        fleet.service.is_down = False

    @staticmethod
    @when('the configuration changes while {count:d} hosts of each zone fail')
    def change_during_failures(context: Any, count: int) -> None:
        """Write a change and stop hosts that would forward it."""
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
    @then('a configuration watch is active again within {limit:d} s')
    def check_watch(context: Any, limit: int) -> None:
        """Run the virtual clock until a watch is registered."""
        fleet = context.fleet
        found = fleet.run_until(lambda: fleet.service.watchers, limit)
        assert found is not None

    @staticmethod
    @then(
        "each zone calls the platform's service at most {rate:g} "
        'times a second'
    )
    def check_rate(context: Any, rate: float) -> None:
        """Compare the calls of all zones with the limit."""
        calls = context.fleet.service.calls.total()
        assert calls <= rate * context.zones * context.duration_s, calls

    @staticmethod
    @then(
        'each change causes at most {count:d} calls to the '
        "platform's service per zone"
    )
    def check_cost(context: Any, count: int) -> None:
        """Compare the calls with the limit, without the regular polls."""
        polls = context.zones * 0.5 * context.changes
        calls = context.fleet.service.calls.total() - polls
        assert calls <= count * context.zones * context.changes, calls


def _run_schedules(
    count: int, make_holder: type[ConfigurationStore]
) -> AssertionError | None:
    def run(faults: list[Any], seed: int) -> None:
        ConfigurationSchedule(seed, make_holder).run(faults)

    schedules = make_schedules(tuple(FaultKind), count)
    seeds = strategies.integers(0, 1000)
    return find_violation(run, SCHEDULE_EXAMPLES, schedules, seeds)


def _find_wrong_outcome(submit: Callable[..., Any]) -> AssertionError | None:
    faults = strategies.lists(strategies.sampled_from(Fault), max_size=8)
    counts = strategies.integers(0, 3)

    def run(
        injected: list[Fault], before: int, after: int, is_delayed: bool
    ) -> None:
        platform = ConcurrentWriterPlatform()
        platform.preceding_changes = [f'b{n}' for n in range(before)]
        platform.following_changes = [f'a{n}' for n in range(after)]
        platform.is_delaying_next = is_delayed
        platform.faults = list(injected)
        outcome = submit(platform, EMPTY_DECLARATIONS, 'mine')
        platform.faults.clear()
        platform.deliver_delayed()
        _check_outcome(outcome, _applied(platform))

    return find_violation(
        run, EXAMPLES, faults, counts, counts, strategies.booleans()
    )


def _submit_ignoring_loss(
    platform: FakePlatform, declarations: Declarations, change_id: str
) -> Any:
    # Deliberate fault: reports a lost answer as a change not applied.
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


def _platform(context: Any) -> ConcurrentWriterPlatform:
    if not hasattr(context, 'platform'):
        context.platform = ConcurrentWriterPlatform()
    return context.platform


def _applied(platform: FakePlatform) -> list[str]:
    stored = read_configuration(platform).unwrap().configuration
    changes = (stored.change_id, *stored.recent_changes)
    return [change for change in changes if change]


def _check_outcome(outcome: Any, applied: list[str]) -> None:
    assert applied.count('mine') <= 1
    if isinstance(outcome, Success):
        assert 'mine' in applied
    elif isinstance(outcome.failure(), ChangeNotApplied):
        assert 'mine' not in applied
    else:
        assert isinstance(outcome.failure(), ChangeUnknown)
