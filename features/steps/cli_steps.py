"""Steps for the command line."""

from __future__ import annotations

import json
from pathlib import Path
import random
import shutil
import tempfile
from typing import Any

from behave import given
from behave import then
from behave import when
from click.testing import CliRunner

from features.fakes.fake_entry import FakeDatabase
from features.fakes.fake_entry import FakeDialer
from features.fakes.fake_entry import FakeHost
from features.fakes.fake_entry import make_refusal
from features.fakes.fake_entry import VirtualTimer
from features.fakes.fake_platform import FakePlatform
from features.fakes.fake_platform import Fault
from trefoilpulley_cli.main import main
from trefoilpulley_cli.service_factory import ServiceFactory
from trefoilpulley_cli.settings import make_tls_context
from trefoilpulley_client.timer import Timer
from trefoilpulley_client.transport import Dialer
from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.configuration.change import read_configuration
from trefoilpulley_core.configuration.change import submit_change
from trefoilpulley_core.configuration.document import encode_databases
from trefoilpulley_core.declarations_check import check_declarations
from trefoilpulley_core.keys import CATALOG_DATABASES_KEY
from trefoilpulley_node.settings import load_settings as load_host_settings

SEED = 11
"""Seed of the change ids and the request ids."""


class FakeServiceFactory(ServiceFactory):
    """Factory of simulated services in place of network connections."""

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.hosts: dict[int, FakeHost] = {}
        self.timer = VirtualTimer()
        self.rng = random.Random(SEED)

    def open_platform(self, endpoint: Any) -> FakePlatform:
        """Return the simulated platform service."""
        return self.platform

    def make_dialer(self, cfg: Any) -> Dialer:
        """Load the certificates and return a dialer of simulated hosts."""
        make_tls_context(cfg.tls)
        return FakeDialer(self.hosts)

    def make_timer(self) -> Timer:
        """Return the timer of virtual time."""
        return self.timer

    def make_rng(self) -> random.Random:
        """Return the seeded random number generator."""
        return self.rng


class CommandLineRig:
    """Command line with simulated services and its last result."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.services = FakeServiceFactory()
        self.result: Any = None
        self.write_settings(json.dumps(self._make_settings()))

    def write_settings(self, text: str) -> None:
        """Write the settings file."""
        (self.folder / 'settings.json').write_text(text)

    def _make_settings(self) -> dict[str, Any]:
        endpoint = {'address': '10.0.0.9', 'port': 2379}
        return {'platform': endpoint, 'operator_secret': 'secret'}

    def add_hosts(self, count: int) -> None:
        """Add simulated hosts and write settings with their endpoints."""
        database = FakeDatabase()
        hosts = []
        for port in range(1, count + 1):
            name = f'host-{port}'
            self.services.hosts[port] = FakeHost(name, database)
            endpoint = {'address': '10.0.0.1', 'port': port}
            hosts.append({'name': name, 'endpoint': endpoint})
        document = {'hosts': hosts, 'tenant': 't', 'secret': 's'}
        self.write_settings(json.dumps({**document, 'database': 'l/0'}))

    def find_host(self, name: str) -> FakeHost:
        """Return the simulated host with a name."""
        hosts = self.services.hosts.values()
        return next(h for h in hosts if h.name == name)

    def run(self, arguments: list[str]) -> None:
        """Run a command; ``{session}`` stands for a file path."""
        settings = str(self.folder / 'settings.json')
        session = str(self.folder / 'session')
        arguments = [a.replace('{session}', session) for a in arguments]
        self.result = CliRunner().invoke(
            main, ['--settings', settings, *arguments], obj=self.services
        )

    @property
    def document(self) -> Any:
        """JSON document that the last command printed."""
        return json.loads(self.result.stdout)

    def submit_other_change(self) -> None:
        """Submit a change of the declarations as another operator."""
        text = Path('examples/sleevecraft.json').read_text()
        declarations = check_declarations(text).unwrap()
        current = read_configuration(self.services.platform).unwrap()
        current = current.configuration.declarations
        classes = (*current.classes, declarations.classes[-1])
        changed = type(current)(classes, current.tenants, current.stops)
        submit_change(self.services.platform, changed, 'other').unwrap()


class CliSetupSteps:
    """Steps that prepare the services and their faults."""

    @staticmethod
    @given("a command line with the platform's service")
    def make_command_line(context: Any) -> None:
        """Build a command line with a simulated platform service."""
        context.cli = CommandLineRig()
        context.cleanups.append(lambda: shutil.rmtree(context.cli.folder))

    @staticmethod
    @given('a command line with {count:d} entry hosts')
    def make_with_hosts(context: Any, count: int) -> None:
        """Build a command line with simulated hosts."""
        CliSetupSteps.make_command_line(context)
        context.cli.add_hosts(count)

    @staticmethod
    @given('the settings file of the command line contains {text}')
    def set_settings(context: Any, text: str) -> None:
        """Replace the settings file."""
        context.cli.write_settings(text)

    @staticmethod
    @given('the command "{arguments}" was run')
    def run_successfully(context: Any, arguments: str) -> None:
        """Run a command and check that it succeeds."""
        context.cli.run(arguments.split())
        assert context.cli.result.exit_code == 0, context.cli.result.output

    @staticmethod
    @given("the platform's service lists the ledger \"{name}\"")
    def list_ledger(context: Any, name: str) -> None:
        """Write the platform's list of databases."""
        listed = encode_databases((DatabaseEntry(f'{name}/0', name, ()),))
        context.cli.services.platform.put(CATALOG_DATABASES_KEY, listed)

    @staticmethod
    @given("the fault of the service's next write is {fault}")
    def add_write_fault(context: Any, fault: str) -> None:
        """Add a fault of the next write."""
        context.cli.services.platform.faults.append(Fault(fault))

    @staticmethod
    @given('the service is down for the command line')
    def take_down(context: Any) -> None:
        """Begin an outage of the service."""
        context.cli.services.platform.take_down()

    @staticmethod
    @given('the service goes down after the next write')
    def schedule_outage(context: Any) -> None:
        """Begin an outage after the next write."""
        platform = context.cli.services.platform
        swap = platform.compare_and_swap

        def swap_once(*args: Any, **options: Any) -> Any:
            platform.compare_and_swap = swap
            result = swap(*args, **options)
            platform.take_down()
            return result

        platform.compare_and_swap = swap_once

    @staticmethod
    @when('the service is up again for the command line')
    def bring_up(context: Any) -> None:
        """End the outage of the service."""
        context.cli.services.platform.bring_up()

    @staticmethod
    @given('another operator changes the declarations after the next read')
    def schedule_other_change(context: Any) -> None:
        """Submit another change between the read and the write."""
        platform = context.cli.services.platform
        get = platform.get

        def get_once(key: str) -> Any:
            platform.get = get
            result = get(key)
            context.cli.submit_other_change()
            return result

        platform.get = get_once

    @staticmethod
    @given('the entry host "{name}" is down for the command line')
    def take_host_down(context: Any, name: str) -> None:
        """Make a host unreachable."""
        context.cli.find_host(name).is_up = False

    @staticmethod
    @given(
        'the entry host "{name}" refuses the next "{kind}" with "{code}" '
        'for the command line'
    )
    def script_refusal(context: Any, name: str, kind: str, code: str) -> None:
        """Refuse the next message of a type at a host."""
        context.cli.find_host(name).orders.append((kind, make_refusal(code)))

    @staticmethod
    @given(
        'every entry host refuses the next "{kind}" with "{code}" '
        'for the command line'
    )
    def script_refusals(context: Any, kind: str, code: str) -> None:
        """Refuse the next message of a type at each host."""
        for host in context.cli.services.hosts.values():
            host.orders.append((kind, make_refusal(code)))


class CliCommandSteps:
    """Steps that run commands."""

    @staticmethod
    @when('the command "{arguments}" is run')
    def run(context: Any, arguments: str) -> None:
        """Run a command."""
        context.cli.run(arguments.split())

    @staticmethod
    @when('the command "{arguments}" is run with the same change id')
    def repeat_change(context: Any, arguments: str) -> None:
        """Repeat a change with the change id of the last command."""
        change_id = context.cli.document['change_id']
        context.cli.run([*arguments.split(), '--change-id', change_id])

    @staticmethod
    @when('the command "{arguments}" is run on the declarations')
    def run_on_declarations(context: Any, arguments: str) -> None:
        """Run a command on a file that holds the step's text."""
        path = context.cli.folder / 'declarations.json'
        path.write_text(context.text)
        context.cli.run([*arguments.split(), str(path)])

    @staticmethod
    @when('the shown declarations are applied')
    def apply_shown(context: Any) -> None:
        """Write the output of ``show`` to a file and apply the file."""
        context.cli.run(['show', '--json'])
        context.shown = context.cli.document['declarations']
        path = context.cli.folder / 'shown.json'
        path.write_text(json.dumps(context.shown))
        context.cli.run(['apply', str(path)])


class HostSettingsSteps:
    """Steps for the settings of a host process."""

    @staticmethod
    @when('the settings file of a host process contains {text}')
    def load(context: Any, text: str) -> None:
        """Load a settings file with the text."""
        path = context.cli.folder / 'host.json'
        path.write_text(text)
        context.loaded = load_host_settings(path)

    @staticmethod
    @then('the settings are refused with "{fault}"')
    def expect_fault(context: Any, fault: str) -> None:
        """Check that a fault of the settings contains the text."""
        failure = context.loaded.failure()
        messages = (failure.detail, *failure.faults)
        assert any(fault in line for line in messages), messages


class CliOutcomeSteps:
    """Steps that check the results of commands."""

    @staticmethod
    @then('the command exits with {code:d}')
    def expect_exit(context: Any, code: int) -> None:
        """Compare the exit code."""
        result = context.cli.result
        assert result.exit_code == code, (result.output, result.exception)

    @staticmethod
    @then('the command\'s output has "{text}"')
    def expect_text(context: Any, text: str) -> None:
        """Check that the output contains a text."""
        assert text in context.cli.result.output, context.cli.result.output

    @staticmethod
    @then('the command\'s output has the lines "{lines}"')
    def expect_lines(context: Any, lines: str) -> None:
        """Compare all lines of the output."""
        found = context.cli.result.output.splitlines()
        assert found == lines.split(', '), found

    @staticmethod
    @then('the command\'s JSON has {value} at "{path}"')
    def expect_value(context: Any, value: str, path: str) -> None:
        """Compare the value at a path of the JSON document."""
        found = context.cli.document
        for key in path.split('.'):
            found = found[int(key)] if isinstance(found, list) else found[key]
        assert found == json.loads(value), found

    @staticmethod
    @then('the shown declarations are the same as before')
    def expect_same_declarations(context: Any) -> None:
        """Compare the output of ``show`` with the earlier one."""
        context.cli.run(['show', '--json'])
        assert context.cli.document['declarations'] == context.shown

    @staticmethod
    @then('the command has made no call to the service')
    def expect_no_call(context: Any) -> None:
        """Check that the service has received no call."""
        assert not context.cli.services.platform.calls

    @staticmethod
    @then('no declarations are in force')
    def expect_no_declarations(context: Any) -> None:
        """Check that no configuration has been stored."""
        stored = read_configuration(context.cli.services.platform).unwrap()
        assert stored.configuration.revision == 0

    @staticmethod
    @then("the other operator's change is still in force")
    def expect_other_change(context: Any) -> None:
        """Check that both operators' changes are in force."""
        stored = read_configuration(context.cli.services.platform).unwrap()
        declarations = stored.configuration.declarations
        assert declarations.find_class('catalogue-lookup')
        assert declarations.find_class('lookup').freshness.max_age_ms == 900

    @staticmethod
    @then('the second statement carried the session token of the first')
    def expect_session(context: Any) -> None:
        """Compare the session tokens that the hosts have received."""
        sent = [
            m.token
            for h in context.cli.services.hosts.values()
            for m in h.received
            if type(m).__name__ == 'Execute'
        ]
        assert sorted(sent) == [b'new-session', b'token-1'], sent
