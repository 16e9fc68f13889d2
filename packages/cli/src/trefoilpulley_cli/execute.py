"""Command ``exec``, which runs one statement."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any
from typing import TYPE_CHECKING

import click

from trefoilpulley_cli.invocation import Invocation
from trefoilpulley_cli.invocation import json_option
from trefoilpulley_cli.invocation import pass_invocation
from trefoilpulley_cli.report import Reporter
from trefoilpulley_client import connect
from trefoilpulley_client.endpoints import format_endpoint
from trefoilpulley_client import Error

if TYPE_CHECKING:
    from collections.abc import Iterable

    from trefoilpulley_cli.settings import OperatorSettings
    from trefoilpulley_client import Connection
    from trefoilpulley_client import Cursor


@click.command('exec')
@click.argument('sql')
@click.option('--class', 'work_class', required=True, help='Class of work.')
@click.option(
    '--database', default='', help='Database; default from the settings.'
)
@click.option(
    '--parameters', default='[]', help='JSON list of the parameters.'
)
@click.option(
    '--request-id', default='', help='Identifier to repeat a request with.'
)
@click.option(
    '--session',
    'session_path',
    type=click.Path(dir_okay=False, path_type=Path),
    help='File that keeps the session token between two calls.',
)
@json_option
@pass_invocation
def execute(
    invocation: Invocation,
    sql: str,
    work_class: str,
    database: str,
    parameters: str,
    request_id: str,
    session_path: Path | None,
    is_json: bool,
) -> None:
    """Run the statement SQL outside a transaction."""
    reporter = Reporter(is_json)
    values = _read_parameters(parameters)
    cfg = invocation.load_settings()
    database = database or cfg.database
    try:
        with _connect(
            invocation, cfg, work_class, database, _read_token(session_path)
        ) as connection:
            cursor = connection.cursor()
            cursor.execute(sql, values, request_id=request_id)
            _save_token(session_path, connection.token)
            document = _describe(cursor)
            reporter.print(document, _format_lines(document))
    except Error as exc:
        _exit_with_error(reporter, exc)


def _connect(
    invocation: Invocation,
    cfg: OperatorSettings,
    work_class: str,
    database: str,
    token: bytes,
) -> Connection:
    services = invocation.services
    return connect(
        [format_endpoint(h.endpoint) for h in cfg.hosts],
        cfg.tenant,
        cfg.secret,
        database,
        work_class,
        token=token,
        autocommit=True,
        dialer=invocation.make_dialer(cfg),
        timer=services.make_timer(),
        rng=services.make_rng(),
    )


def _read_parameters(text: str) -> list[Any]:
    try:
        values = json.loads(text)
    except ValueError as exc:
        raise click.UsageError(f'--parameters: {exc}') from exc
    if not isinstance(values, list):
        raise click.UsageError('--parameters: expected a JSON list')
    return values


def _read_token(path: Path | None) -> bytes:
    if path is None:
        return b''
    if not path.parent.is_dir():
        raise click.UsageError(f'--session: {path.parent} is not a directory')
    if not path.exists():
        return b''
    return path.read_bytes()


def _save_token(path: Path | None, token: bytes) -> None:
    if path is not None:
        path.write_bytes(token)


def _describe(cursor: Cursor) -> dict[str, Any]:
    return {
        'columns': [c[0] for c in cursor.description or ()],
        'rows': cursor.fetchall() if cursor.description else [],
        'row_count': cursor.rowcount,
        'member': cursor.member,
        'age_ms': cursor.age_ms,
    }


def _format_lines(document: dict[str, Any]) -> Iterable[str]:
    if document['columns']:
        yield '\t'.join(document['columns'])
    for row in document['rows']:
        yield '\t'.join('' if v is None else str(v) for v in row)
    yield (
        f'({document["row_count"]} rows; {document["member"]}; '
        f'{document["age_ms"]} ms old)'
    )


def _exit_with_error(reporter: Reporter, exc: Error) -> None:
    document = {
        'code': exc.code,
        'run_state': exc.run_state.value,
        'is_repeatable': exc.is_repeatable,
        'detail': exc.detail,
        'request_id': exc.request_id,
    }
    line = f'{exc.code} ({exc.run_state.value}): {exc.detail}'
    if exc.request_id:
        line += f' [request id {exc.request_id}]'
    reporter.exit_with_error({'failure': document}, [line])
