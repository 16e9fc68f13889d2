"""Steps on configurations from other hosts."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
import eliot

from features.fakes.config_fleet import ConfigFleet
from features.fakes.config_fleet import LAST_WITH_KEY
from features.fakes.config_fleet import make_document
from trefoilpulley_core.direct.config_messages import ConfigurationAnswer
from trefoilpulley_core.membership.messages import Versions
from trefoilpulley_node.direct.config_exchange import CHECK_INTERVAL_S
from trefoilpulley_node.direct.config_holder import SERVICE
from trefoilpulley_node import events


class ConfigExchangeSteps:
    """Steps on hosts of which some do not follow the service."""

    @staticmethod
    @given('3 zones with {count:d} hosts each, all with version 4')
    def make(context: Any, count: int) -> None:
        """Create hosts with a configuration that holds the key."""
        _make(context, count, make_document(LAST_WITH_KEY))

    @staticmethod
    @given('3 zones with {count:d} hosts each, all without customers')
    def make_without(context: Any, count: int) -> None:
        """Create hosts whose configuration has no customers."""
        _make(context, count, make_document(LAST_WITH_KEY, False))

    @staticmethod
    @given('{lost} lose the service and notice it after {noticed:g} s')
    def lose(context: Any, lost: str, noticed: float) -> None:
        """Cut some hosts off the service."""
        hosts = list(context.fleet.hosts.values())
        chosen = {
            'one host': hosts[:1],
            'one zone': [h for h in hosts if h.zone == 'z0'],
            'all hosts but three': hosts[3:],
        }[lost]
        for host in chosen:
            host.is_told = False
            host.lost_at = context.fleet.clock.now() + noticed

    @staticmethod
    @given('hosts that never ask')
    def stop_asking(context: Any) -> None:
        """Remove the checks of all hosts."""
        for host in context.fleet.hosts.values():
            host.exchange.check = lambda: None

    @staticmethod
    @when(
        'the service tells the others of version {version:d}, which removes a '
        'key'
    )
    def tell(context: Any, version: int) -> None:
        """Put a configuration in force on the hosts that hear it."""
        context.fleet.tell(make_document(version))

    @staticmethod
    @when(
        'the service tells the others of version {version:d} without customers'
    )
    def tell_without(context: Any, version: int) -> None:
        """Put a configuration without customers in force."""
        context.fleet.tell(make_document(version, False))

    @staticmethod
    @when(
        'the service tells all hosts of version {version:d} in the course of '
        '{duration:g} s'
    )
    def tell_slowly(context: Any, version: int, duration: float) -> None:
        """Tell some hosts in each check interval."""
        hosts = list(_hosts(context))
        steps = round(duration / CHECK_INTERVAL_S)
        for step in range(steps):
            for host in hosts[step::steps]:
                host.holder.apply(make_document(version), SERVICE)
            context.fleet.run(CHECK_INTERVAL_S)

    @staticmethod
    @when('the service comes back with version {version:d} for all hosts')
    def come_back(context: Any, version: int) -> None:
        """Tell all hosts of an older configuration, twice."""
        for host in context.fleet.hosts.values():
            host.is_told = True
            host.lost_at = None
        for _ in range(2):
            context.fleet.tell(make_document(version))

    @staticmethod
    @when('{duration:g} s pass')
    def run(context: Any, duration: float) -> None:
        """Let time pass."""
        context.fleet.run(duration)

    @staticmethod
    @when('a host starts that does not reach the service')
    def start(context: Any) -> None:
        """Add a host without a configuration."""
        context.host = context.fleet.add_host('z1')
        context.host.is_told = False
        context.host.lost_at = context.fleet.clock.now()

    @staticmethod
    @when('a host starts that gets version {version:d} from the service')
    def start_older(context: Any, version: int) -> None:
        """Add a host that follows a service with an older configuration."""
        context.host = context.fleet.add_host('z1')
        context.host.holder.apply(make_document(version), SERVICE)

    @staticmethod
    @when(
        'a host asks and is answered version {version:d} with "not JSON"',
    )
    def ask_malformed(context: Any, version: int) -> None:
        """Answer with a document that cannot be decoded."""
        _ask(context, ConfigurationAnswer(version, b'{'))

    @staticmethod
    @when('a host asks and is answered version {version:d} with "version 3"')
    def ask_older(context: Any, version: int) -> None:
        """Answer with a document that is older than its answer says."""
        _ask(context, ConfigurationAnswer(version, make_document(3, False)))

    @staticmethod
    @then('every host refuses the key within {duration:g} s')
    def check_refused(context: Any, duration: float) -> None:
        """Let time pass and check each host."""
        context.fleet.run(duration)
        served = [h.name for h in _hosts(context) if h.is_key_served]
        assert not served, served

    @staticmethod
    @then('some host still serves the key after {duration:g} s')
    def check_served(context: Any, duration: float) -> None:
        """Let time pass and check that the removed key is in use."""
        context.fleet.run(duration)
        assert any(h.is_key_served for h in _hosts(context))

    @staticmethod
    @then('no host has asked another one')
    def check_silent(context: Any) -> None:
        """Check that nothing was sent."""
        assert context.fleet.questions == 0, context.fleet.questions

    @staticmethod
    @then('every host has announced version {version:d}')
    def check_announced(context: Any, version: int) -> None:
        """Check that the probes carry the version of the configuration."""
        announced = Versions(configuration=version)
        assert all(h.versions == announced for h in _hosts(context))

    @staticmethod
    @then('every host has version {version:d}')
    def check_versions(context: Any, version: int) -> None:
        """Check the configuration in force on each host."""
        late = [h.name for h in _hosts(context) if h.holder.version != version]
        assert not late, late

    @staticmethod
    @then('the hosts have asked at most {count:d} times')
    def check_count(context: Any, count: int) -> None:
        """Check the number of questions."""
        assert 0 < context.fleet.questions <= count, context.fleet.questions

    @staticmethod
    @then('its version is {version:d}')
    @then('the version of the new host is {version:d}')
    def check_version(context: Any, version: int) -> None:
        """Check the version in force on a host."""
        found = context.host.holder.version
        assert found == version, found

    @staticmethod
    @then(
        'each host has logged once that it dropped version {version:d} of the '
        'service'
    )
    def check_dropped(context: Any, version: int) -> None:
        """Check the events on the older configuration."""
        found = _find_dropped(context)
        assert len(found) == len(context.fleet.hosts), found
        assert all(
            (e['source'], e['version']) == (SERVICE, version) for e in found
        ), found

    @staticmethod
    @then('it has logged the dropped version {version:d}')
    def check_dropped_answer(context: Any, version: int) -> None:
        """Check that an event names the host that answered."""
        found = _find_dropped(context)
        assert found, context.logged
        assert all(e['source'] in context.fleet.hosts for e in found), found


def _make(context: Any, count: int, value: bytes) -> None:
    context.logged = []
    eliot.add_destinations(context.logged.append)
    context.cleanups.append(
        lambda: eliot.remove_destination(context.logged.append)
    )
    context.fleet = ConfigFleet(3, count)
    context.fleet.tell(value)


def _ask(context: Any, answer: ConfigurationAnswer) -> None:
    context.host = context.fleet.hosts['host-0']
    context.host.lost_at = context.fleet.clock.now()
    context.fleet.scripted_answer = answer
    context.fleet.run(1.4)


def _hosts(context: Any) -> Any:
    return context.fleet.hosts.values()


def _find_dropped(context: Any) -> list[dict[str, Any]]:
    name = events.CONFIGURATION_DROPPED.name
    return [m for m in context.logged if m.get('event') == name]
