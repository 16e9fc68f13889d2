"""Command ``state``, which prints the state dumps of hosts."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

import click
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_cli.invocation import Invocation
from trefoilpulley_cli.invocation import json_option
from trefoilpulley_cli.invocation import pass_invocation
from trefoilpulley_cli.report import Reporter
from trefoilpulley_client.entry_link import to_refusal
from trefoilpulley_core.caller import GetState
from trefoilpulley_core.caller import Refusal
from trefoilpulley_core.caller import StateDump
from trefoilpulley_core.failure import MalformedMessage

if TYPE_CHECKING:
    from trefoilpulley_cli.settings import HostAddress
    from trefoilpulley_cli.settings import OperatorSettings
    from trefoilpulley_client.transport import Dialer

STATE_TIMEOUT_S = 3.0
"""Maximum time to connect, and to wait for the state dump, in seconds."""


@click.command()
@click.argument('host', required=False)
@json_option
@pass_invocation
def state(invocation: Invocation, host: str | None, is_json: bool) -> None:
    """Show the state of HOST, or of all hosts in the settings."""
    cfg = invocation.load_settings()
    dialer = invocation.make_dialer(cfg)
    selected = _choose_hosts(cfg, host)
    replies = {
        h.name: _fetch_state(h, cfg.operator_secret, dialer) for h in selected
    }
    document = {name: _describe(reply) for name, reply in replies.items()}
    lines = [_format_reply(name, reply) for name, reply in replies.items()]
    reporter = Reporter(is_json)
    if all(isinstance(reply, Success) for reply in replies.values()):
        reporter.print(document, lines)
    else:
        reporter.exit_with_error(document, lines)


def _choose_hosts(
    cfg: OperatorSettings, name: str | None
) -> tuple[HostAddress, ...]:
    selected = tuple(h for h in cfg.hosts if name in (None, h.name))
    if not selected:
        raise click.UsageError('the settings contain no such host')
    return selected


def _fetch_state(
    host: HostAddress, secret: str, dialer: Dialer
) -> Result[dict[str, Any], Refusal]:
    dialled = dialer.dial(host.endpoint, STATE_TIMEOUT_S)
    if not isinstance(dialled, Success):
        return Failed(to_refusal(dialled.failure()))
    transport = dialled.unwrap()
    reply = transport.call(GetState(secret), STATE_TIMEOUT_S)
    transport.close()
    if not isinstance(reply, Success):
        return Failed(to_refusal(reply.failure()))
    return _read_dump(reply.unwrap())


def _read_dump(message: Any) -> Result[dict[str, Any], Refusal]:
    if isinstance(message, StateDump):
        return Success(message.state)
    if isinstance(message, Refusal):
        return Failed(message)
    return Failed(to_refusal(MalformedMessage('answer is not a state dump')))


def _describe(reply: Result[dict[str, Any], Refusal]) -> dict[str, Any]:
    if isinstance(reply, Success):
        return {'state': reply.unwrap()}
    refusal = reply.failure()
    return {'failure': {'code': refusal.code, 'detail': refusal.detail}}


def _format_reply(name: str, reply: Result[dict[str, Any], Refusal]) -> str:
    if isinstance(reply, Success):
        text = json.dumps(reply.unwrap(), indent=2, default=str)
        return f'{name}\n{text}'
    refusal = reply.failure()
    return f'{name}: {refusal.code}: {refusal.detail}'
