"""Steps for the line codec, platform settings and member entries."""

from __future__ import annotations

import json
import socket
from typing import Any

from behave import given
from behave import then
import hypothesis
from hypothesis import strategies
from returns.result import Success

from trefoilpulley_core.direct.commands import InvalidCommand
from trefoilpulley_core.direct.session_state import alias_of
from trefoilpulley_core.direct.session_state import ConnectionState
from trefoilpulley_core.direct.session_state import plan_setup
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.direct.upstream_session import AskStatus
from trefoilpulley_core.direct.upstream_session import AssignValue
from trefoilpulley_core.direct.upstream_session import CommitTransaction
from trefoilpulley_core.direct.upstream_session import PrepareShape
from trefoilpulley_core.direct.upstream_session import ResetSession
from trefoilpulley_core.direct.upstream_session import RunStatement
from trefoilpulley_core.failure import failures_by_code
from trefoilpulley_core.failure import RunState
from trefoilpulley_platform.documents import KvDocuments
from trefoilpulley_platform.line_codec import ENCODING
from trefoilpulley_platform.line_codec import format_call
from trefoilpulley_platform.line_codec import format_failure
from trefoilpulley_platform.line_codec import LineFormatError
from trefoilpulley_platform.line_codec import LineProtocolError
from trefoilpulley_platform.line_codec import parse_command
from trefoilpulley_platform.line_codec import parse_reply
from trefoilpulley_platform.line_socket import LineSocket
from trefoilpulley_platform.line_upstream import LineUpstream
from trefoilpulley_platform.platform_settings import parse_settings

LONG_SHAPE_CHARS = 100
"""Length that a name on a shared connection does not repeat."""

NO_EFFECT_CODES = {
    'BUSY',
    'ABORTED',
    'BEHIND',
    'READONLY',
    'MISROUTED',
    'TOOMANY',
}
"""Error codes which guarantee that the request had no effect."""

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
"""Valid settings in the platform's format, with an unknown field."""

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
"""Valid entry in the format that a member writes."""

_TOKENS = strategies.sampled_from(
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
    strategies.one_of(_TOKENS, strategies.text(max_size=5)), max_size=6
).map(' '.join)


_SHAPES = strategies.one_of(
    _LINES,
    strategies.text(
        strategies.characters(max_codepoint=255, blacklist_characters='\r\n')
    ),
).filter(lambda shape: shape and not {'\r', '\n'} & set(shape))
"""Shapes that a caller may prepare, in the encoding of the lines."""


def _check_shapes(shapes: list[str]) -> None:
    """Check what a member reads when sessions share its connection."""
    conn = ConnectionState()
    prepared: dict[str, tuple[str, str]] = {}
    for shape in shapes:
        shape = shape.encode(ENCODING, 'replace').decode(ENCODING)
        for kind in ('READ', 'WRITE'):
            statement = parse_command(f'QUERY 1 PREPARE s1 {kind} {shape}')
            for call in plan_setup(conn, SessionState(), statement):
                fields = format_call(call).split(' ', 5)[2:]
                assert fields[0] == 'PREPARE', fields
                name, *described = fields[1:]
                assert name not in prepared, name
                prepared[name] = tuple(described)
            call = RunStatement('2', 'k v', alias_of(statement))
            *_, name, arguments = format_call(call).split(' ', 4)[2:]
            assert prepared[name] == (kind, shape), (name, shape)
            assert arguments == 'k v', arguments


def _is_refused(call: Any) -> bool:
    try:
        format_call(call)
    except LineFormatError:
        return True
    return False


class LineCodecSteps:
    """Steps for the codec of the line protocol."""

    @staticmethod
    @then('{count:d} generated caller lines are parsed without an exception')
    def check_commands_parsed(context: Any, count: int) -> None:
        """Parse caller lines of protocol tokens and random text."""

        @hypothesis.settings(
            max_examples=count, derandomize=True, database=None, deadline=None
        )
        @hypothesis.given(_LINES)
        def check(line: str) -> None:
            parse_command(line)

        check()

    @staticmethod
    @then('requests with a lone line feed or carriage return are rejected')
    def check_line_breaks_rejected(context: Any) -> None:
        """Check that a line break inside a request makes it invalid."""
        for line_break in '\n\r':
            for text in ('READ a{}QUERY 2 WRITE b c', 'SET n{}v x'):
                command = parse_command('QUERY 1 ' + text.format(line_break))
                assert isinstance(command, InvalidCommand), command

    @staticmethod
    @then('prepared shapes reach the member under one name each, unchanged:')
    def check_shapes(context: Any) -> None:
        """Prepare and execute the shapes of the step's table."""
        shapes = [row['shape'] for row in context.table]
        long_shapes = [f'{s} {"x" * LONG_SHAPE_CHARS} y' for s in shapes]
        _check_shapes(shapes + long_shapes)

    @staticmethod
    @then(
        '{count:d} generated shapes reach the member under one name each, '
        'unchanged'
    )
    def check_generated_shapes(context: Any, count: int) -> None:
        """Prepare and execute pairs of shapes of protocol tokens and text."""

        @hypothesis.settings(
            max_examples=count, derandomize=True, database=None, deadline=None
        )
        @hypothesis.given(strategies.lists(_SHAPES, min_size=1, max_size=3))
        def check(shapes: list[str]) -> None:
            _check_shapes(shapes)

        check()

    @staticmethod
    @then('the statement "{text}" is rejected as invalid')
    def check_statement_rejected(context: Any, text: str) -> None:
        """Check that a statement is invalid, also with a blank at its end."""
        for line in (f'QUERY 1 {text}', f'QUERY 1 {text} '):
            command = parse_command(line)
            assert isinstance(command, InvalidCommand), command

    @staticmethod
    @then(
        'no line is written for a name with a blank, a line break or no text'
    )
    def check_fields_checked(context: Any) -> None:
        """Try to format calls with a field that is not one word."""
        for word in ('', 'a b', ' a', 'a\n', 'a\rb'):
            for call in (
                PrepareShape(word, 'q2c', False),
                AssignValue(word, 'x'),
                RunStatement('q1', 'k', word or 'a b'),
                RunStatement(word, 'READ k'),
                CommitTransaction(word),
            ):
                assert _is_refused(call), call
        for text in ('a\nb', 'a\rb', 'a\r\nQUERY 2 WRITE b c'):
            for call in (
                PrepareShape('a', text, False),
                AssignValue('a', text),
                RunStatement('q1', text),
                RunStatement('q1', text, 'a'),
            ):
                assert _is_refused(call), call

    @staticmethod
    @then('a call that cannot be written reaches no member and has not run')
    def check_unwritable_call(context: Any) -> None:
        """Send a valid call together with one that cannot be written."""
        ours, theirs = socket.socketpair()
        upstream = LineUpstream(LineSocket(ours))
        calls = (ResetSession(), RunStatement('a b', 'WRITE k v'))
        failure = upstream.exchange(calls, 1.0).failure()
        assert failure.run_state is RunState.NOT_RUN, failure
        assert not upstream.is_usable
        assert theirs.recv(100) == b''
        theirs.close()

    @staticmethod
    @then(
        '{count:d} generated member replies are parsed or rejected as '
        'protocol errors'
    )
    def check_replies_parsed(context: Any, count: int) -> None:
        """Parse member replies of protocol tokens and random text.

        A parsed reply must be a failure or end with ``DONE``.
        """

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
    @then('the failure {name} is formatted with the code "{code}"')
    def check_failure_code(context: Any, name: str, code: str) -> None:
        """Compare the code of a formatted failure."""
        kind = next(
            k for k in failures_by_code().values() if k.__name__ == name
        )
        assert format_failure(kind()).split()[1] == code

    @staticmethod
    @then(
        'codes that rule out an effect are used only for failures that have '
        'not run'
    )
    def check_no_effect_codes(context: Any) -> None:
        """Check the codes of all failures in the catalogue."""
        for kind in failures_by_code().values():
            code = format_failure(kind('two\r\nlines')).split()[1]
            if code in NO_EFFECT_CODES:
                assert kind.run_state is RunState.NOT_RUN, kind


class PlatformSettingsSteps:
    """Steps for the platform's settings file."""

    @staticmethod
    @given('valid platform settings')
    def make_settings(context: Any) -> None:
        """Use the valid settings unchanged."""
        context.fields = dict(SETTINGS)

    @staticmethod
    @given('platform settings with the change: {change}')
    def make_changed_settings(context: Any, change: str) -> None:
        """Remove a field (``NAME missing``) or set it (``NAME=VALUE``)."""
        context.fields = dict(SETTINGS)
        if change.endswith(' missing'):
            del context.fields[change.removesuffix(' missing')]
        else:
            name, _, value = change.partition('=')
            context.fields[name] = value

    @staticmethod
    @then(
        'the settings name host "{host}" in zone "{zone}" with peer port '
        '{port:d}'
    )
    def check_host_settings(
        context: Any, host: str, zone: str, port: int
    ) -> None:
        """Compare the host, zone and peer port of the proxy settings."""
        cfg = PlatformSettingsSteps._parse(context).unwrap()
        assert (cfg.proxy.host, cfg.proxy.zone) == (host, zone)
        assert cfg.proxy.peer_listen.port == port
        context.cfg = cfg

    @staticmethod
    @then('metrics are served on port {port:d} at "{path}"')
    def check_metrics_address(context: Any, port: int, path: str) -> None:
        """Compare the port and path of the metrics."""
        assert context.cfg.metrics.port == port
        assert context.cfg.metrics_path == path

    @staticmethod
    @then('the platform settings are rejected with "{text}"')
    def check_settings_rejected(context: Any, text: str) -> None:
        """Check that the error names the field."""
        failure = PlatformSettingsSteps._parse(context).failure()
        assert text in failure.detail, failure

    @staticmethod
    def _parse(context: Any) -> Any:
        lines = [f'{n}={v}' for n, v in context.fields.items()]
        return parse_settings('\n'.join(lines), '9464/metrics')


class MemberEntrySteps:
    """Steps for member entries."""

    @staticmethod
    @given('a member entry with the change: {change}')
    def make_entry(context: Any, change: str) -> None:
        """Remove a field (``NAME missing``) or set it (``NAME JSON``).

        A change of one word, such as ``nothing``, leaves the entry valid.
        """
        entry = dict(ENTRY)
        name, _, value = change.partition(' ')
        if value == 'missing':
            del entry[name]
        elif value:
            entry[name] = json.loads(value)
        context.entry = json.dumps(entry).encode()

    @staticmethod
    @then('the member entry is rejected')
    def check_entry_rejected(context: Any) -> None:
        """Check that the entry is not decoded."""
        found = MemberEntrySteps._decode(context)
        assert not isinstance(found, Success), found

    @staticmethod
    @then('the member entry describes a replica in zone "{zone}"')
    def check_entry_decoded(context: Any, zone: str) -> None:
        """Compare the identifier, zone and role of the member."""
        record = MemberEntrySteps._decode(context).unwrap()
        assert (record.member, record.zone) == ('i-1', zone)
        assert not record.is_primary

    @staticmethod
    def _decode(context: Any) -> Any:
        return KvDocuments().decode_member('servers/i-1', context.entry)
