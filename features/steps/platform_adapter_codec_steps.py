"""Steps on what the adapter to the platform decodes."""

from __future__ import annotations

import json
from typing import Any

from behave import given
from behave import then
import hypothesis
from hypothesis import strategies
from returns.result import Success

from trefoilpulley_core.failure import failures_by_code
from trefoilpulley_core.failure import RunState
from trefoilpulley_core.proxy.commands import InvalidCommand
from trefoilpulley_core.proxy.upstream_session import AskStatus
from trefoilpulley_core.proxy.upstream_session import CommitTransaction
from trefoilpulley_platform.documents import KvDocuments
from trefoilpulley_platform.line_codec import ENCODING
from trefoilpulley_platform.line_codec import format_failure
from trefoilpulley_platform.line_codec import LineProtocolError
from trefoilpulley_platform.line_codec import parse_command
from trefoilpulley_platform.line_codec import parse_reply
from trefoilpulley_platform.platform_settings import parse_settings

PROMISES = {
    'BUSY',
    'ABORTED',
    'BEHIND',
    'READONLY',
    'MISROUTED',
    'TOOMANY',
}
"""Codes that promise that nothing was kept."""

SETTINGS = {
    'node_name': 'front-a-1',
    'ip': '10.1.0.8',
    'zone': 'a',
    'region': 'here',
    'listen_addrs.front': '10.1.0.8:8784',
    'listen_addrs.ready': '10.1.0.8:8785',
    'port_range': '7440,7455',
    'seeds': '10.1.0.8:8782,10.2.0.6:8782',
    'bounds.grace_s': '6',
    'platform.address': '10.200.1.7:8783',
    'cloud_api.address': '10.200.0.160:8783',
    'a.new.field': 'x',
}
"""Settings as the platform writes them."""

ENTRY = {
    'service': 'ledger',
    'address': '10.128.0.9:8080',
    'zone': 'a',
    'config_version': 'v1',
    'capacity': 2,
    'state': 'ready',
    'warmup_ms': 0,
    'db_role': 'replica',
    'sequence': 4,
    'born': 1772896673064,
}
"""Entry as a member writes it."""

_WORDS = strategies.sampled_from(
    (
        'QUERY',
        'BYE',
        'READ',
        'WRITE',
        'EXEC',
        'BEGIN',
        'PREPARE',
        'SET',
        'FORGET',
        'COMMIT',
        'ROW',
        'DONE',
        'ERR',
        'READY',
        'I',
        'T',
        '-',
        '3.12',
        'x.y',
        '',
    )
)
_LINES = strategies.lists(
    strategies.one_of(_WORDS, strategies.text(max_size=5)), max_size=6
).map(' '.join)


class CodecSteps:
    """Steps on the line protocol."""

    @staticmethod
    @then('{count:d} generated lines of callers are decoded without an error')
    def decode_commands(context: Any, count: int) -> None:
        """Decode lines of known words and noise."""

        @hypothesis.settings(
            max_examples=count, derandomize=True, database=None, deadline=None
        )
        @hypothesis.given(_LINES)
        def check(line: str) -> None:
            parse_command(line)

        check()

    @staticmethod
    @then('requests with a lone line feed or carriage return are refused')
    def check_hidden(context: Any) -> None:
        """Check that a line end inside a request is refused."""
        for mark in '\n\r':
            for text in ('READ a{}QUERY 2 WRITE b c', 'SET n{}v x'):
                command = parse_command('QUERY 1 ' + text.format(mark))
                assert isinstance(command, InvalidCommand), command

    @staticmethod
    @then(
        '{count:d} generated replies of members are decoded or refused as '
        'faults'
    )
    def decode_replies(context: Any, count: int) -> None:
        """Decode lines of known words and noise."""

        @hypothesis.settings(
            max_examples=count, derandomize=True, database=None, deadline=None
        )
        @hypothesis.given(
            strategies.lists(_LINES, min_size=2, max_size=4),
            strategies.sampled_from((AskStatus(), CommitTransaction('q'))),
        )
        def check(lines: list[str], call: Any) -> None:
            data = [x.encode(ENCODING, 'replace') for x in lines]
            try:
                reply = parse_reply(call, data)
            except LineProtocolError:
                return
            assert reply.failure or data[-2].startswith(b'DONE')

        check()

    @staticmethod
    @then('the failure {name} is told as "{code}"')
    def check_code(context: Any, name: str, code: str) -> None:
        """Check the code of a failure."""
        kind = next(
            k for k in failures_by_code().values() if k.__name__ == name
        )
        assert format_failure(kind()).split()[1] == code

    @staticmethod
    @then('every failure of the catalogue is told by its run state')
    def check_promises(context: Any) -> None:
        """Check that promises are told for what has not run alone."""
        for kind in failures_by_code().values():
            code = format_failure(kind('two\r\nlines')).split()[1]
            if code in PROMISES:
                assert kind.run_state is RunState.NOT_RUN, kind


class PlatformSettingsSteps:
    """Steps on the platform's settings file."""

    @staticmethod
    @given("the platform's settings")
    def make(context: Any) -> None:
        """Take the settings as they are."""
        context.fields = dict(SETTINGS)

    @staticmethod
    @given("the platform's settings with {change}")
    def make_changed(context: Any, change: str) -> None:
        """Change one field."""
        context.fields = dict(SETTINGS)
        if change.endswith(' missing'):
            del context.fields[change.removesuffix(' missing')]
        else:
            name, _, value = change.partition('=')
            context.fields[name] = value

    @staticmethod
    @then('the host is "{host}" of zone "{zone}" with peers on port {port:d}')
    def check_host(context: Any, host: str, zone: str, port: int) -> None:
        """Check the product's settings."""
        cfg = PlatformSettingsSteps._parse(context).unwrap()
        assert (cfg.proxy.host, cfg.proxy.zone) == (host, zone)
        assert cfg.proxy.peer_listen.port == port
        context.cfg = cfg

    @staticmethod
    @then('metrics are served on port {port:d} at "{path}"')
    def check_metrics(context: Any, port: int, path: str) -> None:
        """Check the address of the metrics."""
        assert context.cfg.metrics.port == port
        assert context.cfg.metrics_path == path

    @staticmethod
    @then('the settings are refused with "{text}"')
    def check_refused(context: Any, text: str) -> None:
        """Check that the fault names the field."""
        failure = PlatformSettingsSteps._parse(context).failure()
        assert text in failure.detail, failure

    @staticmethod
    def _parse(context: Any) -> Any:
        lines = [f'{n}={v}' for n, v in context.fields.items()]
        return parse_settings('\n'.join(lines), '9464/metrics')


class EntrySteps:
    """Steps on the members' entries."""

    @staticmethod
    @given("a member's entry with {change}")
    def make(context: Any, change: str) -> None:
        """Write an entry with one field changed."""
        entry = dict(ENTRY)
        name, _, value = change.partition(' ')
        if value == 'missing':
            del entry[name]
        elif value:
            entry[name] = json.loads(value)
        context.entry = json.dumps(entry).encode()

    @staticmethod
    @then('the entry is refused')
    def check_refused(context: Any) -> None:
        """Check that the entry names nobody."""
        found = EntrySteps._read(context)
        assert not isinstance(found, Success), found

    @staticmethod
    @then('the entry names a replica of zone "{zone}"')
    def check_member(context: Any, zone: str) -> None:
        """Check the member."""
        record = EntrySteps._read(context).unwrap()
        assert (record.member, record.zone) == ('i-1', zone)
        assert not record.is_primary

    @staticmethod
    def _read(context: Any) -> Any:
        return KvDocuments().decode_member('servers/i-1', context.entry)
