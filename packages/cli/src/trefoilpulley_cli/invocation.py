"""Settings and services of a command."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import click
from returns.result import Success

from trefoilpulley_cli.service_factory import ServiceFactory
from trefoilpulley_cli.settings import load_settings
from trefoilpulley_cli.settings import OperatorSettings

if TYPE_CHECKING:
    from trefoilpulley_client.transport import Dialer
    from trefoilpulley_core.platform import Platform


@dataclass(frozen=True, slots=True)
class Invocation:
    """Settings file and services of one run of the command line."""

    services: ServiceFactory
    """Factory of the clients for the platform and the entry hosts."""

    settings_path: Path | None
    """Path of the settings file, or ``None`` if none was given."""

    def load_settings(self) -> OperatorSettings:
        """Return the settings, or exit with their faults as a usage error."""
        if self.settings_path is None:
            raise click.UsageError(
                'specify a settings file with --settings or '
                'TREFOILPULLEY_SETTINGS'
            )
        loaded = load_settings(self.settings_path)
        if isinstance(loaded, Success):
            return loaded.unwrap()
        failure = loaded.failure()
        faults = getattr(failure, 'faults', ()) or (failure.detail,)
        raise click.UsageError('settings: ' + '; '.join(faults))

    def open_platform(self) -> Platform:
        """Return a client of the platform's key-value service."""
        cfg = self.load_settings()
        if cfg.platform is None:
            raise click.UsageError('settings: $.platform is required')
        return self.services.open_platform(cfg.platform)

    def make_dialer(self, cfg: OperatorSettings) -> Dialer:
        """Return a dialer for entry hosts."""
        if not cfg.hosts:
            raise click.UsageError('settings: $.hosts is required')
        try:
            return self.services.make_dialer(cfg)
        except OSError as exc:
            raise click.UsageError(f'settings: $.tls: {exc}') from exc


pass_invocation = click.make_pass_decorator(Invocation)
"""Decorator that passes the `Invocation` to a command."""

json_option = click.option(
    '--json', 'is_json', is_flag=True, help='Print JSON.'
)
"""Option ``--json`` of the commands that print a report."""
