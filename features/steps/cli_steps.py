"""Steps on the command line."""

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
from trefoilpulley_cli.outside import ServiceFactory
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
"""Seed of change ids and request ids."""


class FakeOutside(ServiceFactory):
    """Fakes in place of the network."""

    def __init__(self) -> None:
        self.platform = FakePlatform()
        self.hosts: dict[int, FakeHost] = {}
        self.timer = VirtualTimer()
        self.rng = random.Random(SEED)

    def open_platform(self, endpoint: Any) -> FakePlatform:
        """Return the fake service."""
        return self.platform

    def make_dialer(self, cfg: Any) -> Dialer:
        """Return a dialer of the fake hosts; the certificates are read."""
        make_tls_context(cfg.tls)
        return FakeDialer(self.hosts)

    def make_timer(self) -> Timer:
        """Return virtual time."""
        return self.timer

    def make_rng(self) -> random.Random:
        """Return seeded randomness."""
        return self.rng


class CommandLine:
    """Runs commands against fakes."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.outside = FakeOutside()
        self.result: Any = None
        self.write_settings(json.dumps(self._make_settings()))

    def write_settings(self, text: str) -> None:
        """Write the settings file."""
        (self.folder / 'settings.json').write_text(text)

    def _make_settings(self) -> dict[str, Any]:
        endpoint = {'address': '10.0.0.9', 'port': 2379}
        return {'platform': endpoint, 'operator_secret': 'secret'}

    def add_hosts(self, count: int) -> None:
        """Add fake hosts and write settings that name them."""
        database = FakeDatabase()
        hosts = []
        for port in range(1, count + 1):
            name = f'host-{port}'
            self.outside.hosts[port] = FakeHost(name, database)
            endpoint = {'address': '10.0.0.1', 'port': port}
            hosts.append({'name': name, 'endpoint': endpoint})
        document = {'hosts': hosts, 'tenant': 't', 'secret': 's'}
        self.write_settings(json.dumps({**document, 'database': 'l/0'}))

    def host(self, name: str) -> FakeHost:
        """Return a fake host."""
        hosts = self.outside.hosts.values()
        return next(h for h in hosts if h.name == name)

    def run(self, arguments: list[str]) -> None:
        """Run a command."""
        settings = str(self.folder / 'settings.json')
        session = str(self.folder / 'session')
        arguments = [a.replace('{session}', session) for a in arguments]
        self.result = CliRunner().invoke(
            main, ['--settings', settings, *arguments], obj=self.outside
        )

    @property
    def document(self) -> Any:
        """JSON document that the command printed."""
        return json.loads(self.result.stdout)

    def change_elsewhere(self) -> None:
        """Change the declarations as another operator."""
        text = Path('examples/sleevecraft.json').read_text()
        declarations = check_declarations(text).unwrap()
        current = read_configuration(self.outside.platform).unwrap()
        current = current.configuration.declarations
        classes = (*current.classes, declarations.classes[-1])
        changed = type(current)(classes, current.tenants, current.stops)
        submit_change(self.outside.platform, changed, 'other').unwrap()


class CliSetup:
    """Steps that prepare."""

    @staticmethod
    @given("a command line with the platform's service")
    def make_command_line(context: Any) -> None:
        """Build the fakes."""
        context.cli = CommandLine()
        context.cleanups.append(lambda: shutil.rmtree(context.cli.folder))

    @staticmethod
    @given('a command line with {count:d} entry hosts')
    def make_with_hosts(context: Any, count: int) -> None:
        """Build the fakes with hosts."""
        CliSetup.make_command_line(context)
        context.cli.add_hosts(count)

    @staticmethod
    @given("the command line's settings are {text}")
    def set_settings(context: Any, text: str) -> None:
        """Replace the settings file."""
        context.cli.write_settings(text)

    @staticmethod
    @given('the command "{arguments}" was run')
    def prepare(context: Any, arguments: str) -> None:
        """Run a command that succeeds."""
        context.cli.run(arguments.split())
        assert context.cli.result.exit_code == 0, context.cli.result.output

    @staticmethod
    @given("the platform's service lists the ledger \"{name}\"")
    def list_ledger(context: Any, name: str) -> None:
        """Write the platform's list of databases."""
        listed = encode_databases((DatabaseEntry(f'{name}/0', name, ()),))
        context.cli.outside.platform.put(CATALOG_DATABASES_KEY, listed)

    @staticmethod
    @given("the service's next write is {fault}")
    def order_fault(context: Any, fault: str) -> None:
        """Lose the answer of a write."""
        context.cli.outside.platform.faults.append(Fault(fault))

    @staticmethod
    @given('the service is down for the command line')
    def take_down(context: Any) -> None:
        """Begin an outage."""
        context.cli.outside.platform.take_down()

    @staticmethod
    @given('the service goes down after the next write')
    def order_outage(context: Any) -> None:
        """Begin an outage after the next write."""
        platform = context.cli.outside.platform
        swap = platform.compare_and_swap

        def swap_once(*args: Any, **options: Any) -> Any:
            platform.compare_and_swap = swap
            answer = swap(*args, **options)
            platform.take_down()
            return answer

        platform.compare_and_swap = swap_once

    @staticmethod
    @when('the service is up again for the command line')
    def bring_up(context: Any) -> None:
        """End the outage."""
        context.cli.outside.platform.bring_up()

    @staticmethod
    @given('another operator changes the declarations after the next read')
    def order_race(context: Any) -> None:
        """Let another change come first."""
        platform = context.cli.outside.platform
        get = platform.get

        def get_once(key: str) -> Any:
            platform.get = get
            answer = get(key)
            context.cli.change_elsewhere()
            return answer

        platform.get = get_once

    @staticmethod
    @given('the entry host "{name}" is down for the command line')
    def take_host_down(context: Any, name: str) -> None:
        """Stop a host."""
        context.cli.host(name).is_up = False

    @staticmethod
    @given(
        'the entry host "{name}" refuses "{kind}" with "{code}" '
        'for the command line'
    )
    def order_refusal(context: Any, name: str, kind: str, code: str) -> None:
        """Refuse the next message of a type."""
        context.cli.host(name).orders.append((kind, make_refusal(code)))

    @staticmethod
    @given(
        'every entry host refuses "{kind}" with "{code}" for the command line'
    )
    def order_refusals(context: Any, kind: str, code: str) -> None:
        """Refuse at each host."""
        for host in context.cli.outside.hosts.values():
            host.orders.append((kind, make_refusal(code)))


class CliRuns:
    """Steps that run commands."""

    @staticmethod
    @when('the command "{arguments}" is run')
    def run(context: Any, arguments: str) -> None:
        """Run a command."""
        context.cli.run(arguments.split())

    @staticmethod
    @when('the command "{arguments}" is run under the same change id')
    def run_again(context: Any, arguments: str) -> None:
        """Repeat a change."""
        change_id = context.cli.document['change_id']
        context.cli.run([*arguments.split(), '--change-id', change_id])

    @staticmethod
    @when('the command "{arguments}" is run on the declarations')
    def run_on(context: Any, arguments: str) -> None:
        """Run a command on a file with the step's text."""
        path = context.cli.folder / 'declarations.json'
        path.write_text(context.text)
        context.cli.run([*arguments.split(), str(path)])

    @staticmethod
    @when('the shown declarations are applied')
    def apply_shown(context: Any) -> None:
        """Show, write to a file, apply."""
        context.cli.run(['show', '--json'])
        context.shown = context.cli.document['declarations']
        path = context.cli.folder / 'shown.json'
        path.write_text(json.dumps(context.shown))
        context.cli.run(['apply', str(path)])


class HostSettingsSteps:
    """Steps on the settings of a host's process."""

    @staticmethod
    @when("the settings of a host's process are {text}")
    def load(context: Any, text: str) -> None:
        """Read a settings file with the text."""
        path = context.cli.folder / 'host.json'
        path.write_text(text)
        context.loaded = load_host_settings(path)

    @staticmethod
    @then('they are refused with "{fault}"')
    def expect_fault(context: Any, fault: str) -> None:
        """Look for a fault."""
        failure = context.loaded.failure()
        told = (failure.detail, *failure.faults)
        assert any(fault in line for line in told), told


class CliOutcomes:
    """Steps that judge."""

    @staticmethod
    @then('the command exits with {code:d}')
    def expect_exit(context: Any, code: int) -> None:
        """Compare the exit code."""
        result = context.cli.result
        assert result.exit_code == code, (result.output, result.exception)

    @staticmethod
    @then('the command\'s output has "{text}"')
    def expect_text(context: Any, text: str) -> None:
        """Look for a text in the output."""
        assert text in context.cli.result.output, context.cli.result.output

    @staticmethod
    @then('the command\'s output has the lines "{lines}"')
    def expect_lines(context: Any, lines: str) -> None:
        """Compare the whole output."""
        found = context.cli.result.output.splitlines()
        assert found == lines.split(', '), found

    @staticmethod
    @then('the command\'s JSON has {value} at "{path}"')
    def expect_value(context: Any, value: str, path: str) -> None:
        """Compare a value of the document."""
        found = context.cli.document
        for key in path.split('.'):
            found = found[int(key)] if isinstance(found, list) else found[key]
        assert found == json.loads(value), found

    @staticmethod
    @then('the shown declarations are the same as before')
    def expect_same(context: Any) -> None:
        """Show again and compare."""
        context.cli.run(['show', '--json'])
        assert context.cli.document['declarations'] == context.shown

    @staticmethod
    @then('the command has made no call to the service')
    def expect_no_call(context: Any) -> None:
        """Expect an untouched service."""
        assert not context.cli.outside.platform.calls

    @staticmethod
    @then('nothing is in force')
    def expect_nothing(context: Any) -> None:
        """Expect no configuration."""
        stored = read_configuration(context.cli.outside.platform).unwrap()
        assert stored.configuration.revision == 0

    @staticmethod
    @then("the other operator's change is still in force")
    def expect_other(context: Any) -> None:
        """Look for the other operator's class."""
        stored = read_configuration(context.cli.outside.platform).unwrap()
        declarations = stored.configuration.declarations
        assert declarations.find_class('catalogue-lookup')
        assert declarations.find_class('lookup').freshness.max_age_ms == 900

    @staticmethod
    @then('the second statement carried the session of the first')
    def expect_session(context: Any) -> None:
        """Compare the tokens that the hosts received."""
        sent = [
            m.token
            for h in context.cli.outside.hosts.values()
            for m in h.received
            if type(m).__name__ == 'Execute'
        ]
        assert sorted(sent) == [b'new-session', b'token-1'], sent
