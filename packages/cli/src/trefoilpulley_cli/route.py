"""Command ``route``, which asks a host where it would send a request."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import click
import requests
from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_cli.invocation import json_option
from trefoilpulley_cli.report import Reporter
from trefoilpulley_cli.route_lines import format_report
from trefoilpulley_core.failure import failures_by_code
from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_core.failure import PeerUnreachable

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure

ANSWER_TIMEOUT_S = 3.0
"""Maximum time to connect, and to wait for the answer, in seconds."""

ROUTE_PATH = '/route'
"""URL path of the answer."""


class AddressType(click.ParamType):
    """Address of a host as ``HOST:PORT``."""

    name = 'host:port'

    def convert(self, value: Any, param: Any, ctx: Any) -> str:
        """Return the address, or fail."""
        host, _, port = value.rpartition(':')
        is_port = port.isascii() and port.isdecimal()
        if not host or not is_port or not 0 < int(port) < 65536:
            self.fail('expected HOST:PORT', param, ctx)
        if any(c in host for c in '/?#@') or not host.isprintable():
            self.fail('expected HOST:PORT', param, ctx)
        return value


@click.command()
@click.argument('database')
@click.option(
    '--address',
    type=AddressType(),
    required=True,
    help='Address at which the host serves its state.',
)
@click.option('--customer', help='Name of the customer; never a key.')
@click.option('--write', 'is_write', is_flag=True, help='The request writes.')
@click.option(
    '--transaction',
    'is_transaction',
    is_flag=True,
    help='The request begins a transaction, read-only without --write.',
)
@click.option('--floor', help='Newest commit of the session: TERM.NUMBER.')
@click.option(
    '--floor-age-ms',
    type=click.FloatRange(min=0),
    help='Time since the acknowledgement of that commit.',
)
@json_option
def route(
    database: str,
    address: str,
    customer: str | None,
    is_write: bool,
    is_transaction: bool,
    floor: str | None,
    floor_age_ms: float | None,
    is_json: bool,
) -> None:
    """Show where a host would send a request to DATABASE now, and why."""
    if floor_age_ms is not None and floor is None:
        raise click.UsageError('--floor-age-ms needs --floor')
    fields: dict[str, str] = {'database': database}
    if customer is not None:
        fields['customer'] = customer
    if is_write:
        fields['write'] = '1'
    if is_transaction:
        fields['transaction'] = '1'
    if floor is not None:
        fields['floor'] = floor
    if floor_age_ms is not None:
        fields['floor_age_ms'] = f'{floor_age_ms:.3f}'
    reporter = Reporter(is_json)
    fetched = _fetch_report(address, fields)
    if not isinstance(fetched, Success):
        reporter.exit_with_failure(fetched.failure())
    report = fetched.unwrap()
    reporter.print(report, format_report(report))


def _fetch_report(
    address: str, fields: dict[str, str]
) -> Result[dict[str, Any], Failure]:
    with requests.Session() as session:
        # The host is asked directly, whatever proxies the user has set.
        session.trust_env = False
        try:
            reply = session.get(
                f'http://{address}{ROUTE_PATH}',
                params=fields,
                timeout=ANSWER_TIMEOUT_S,
                allow_redirects=False,
            )
        except requests.RequestException as exc:
            return Failed(PeerUnreachable(type(exc).__name__))
    try:
        document = reply.json()
    except ValueError:
        document = None
    if reply.status_code == requests.codes.ok and _is_report(document):
        return Success(document)
    if isinstance(document, dict) and isinstance(
        document.get('failure'), dict
    ):
        return Failed(_read_failure(document['failure']))
    return Failed(
        MalformedMessage(f'no answer of a host (HTTP {reply.status_code})')
    )


def _is_report(document: Any) -> bool:
    return isinstance(document, dict) and 'verdict' in document


def _read_failure(fields: dict[str, Any]) -> Failure:
    detail = str(fields.get('detail', ''))
    kind = failures_by_code().get(str(fields.get('code')))
    return MalformedMessage(detail) if kind is None else kind(detail)
