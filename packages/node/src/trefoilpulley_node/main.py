"""Command ``trefoilpulleyd``: runs the process of an entry host."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

# gevent must patch the standard library before any other import.
import gc  # noqa: E402
from pathlib import Path  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import click  # noqa: E402
import eliot  # noqa: E402
import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402
from returns.result import Success  # noqa: E402

from trefoilpulley_node.composition import compose  # noqa: E402
from trefoilpulley_node.settings import load_settings  # noqa: E402

EXIT_INVALID_SETTINGS = 1
"""Exit code if the settings are invalid."""


@click.command()
@click.option(
    '--settings',
    'path',
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help='JSON file of the process settings.',
)
def main(path: Path) -> None:
    """Run an entry host until SIGTERM or SIGINT, then drain it."""
    loaded = load_settings(path)
    if not isinstance(loaded, Success):
        failure = loaded.failure()
        click.echo(failure.detail, err=True)
        for fault in getattr(failure, 'faults', ()):
            click.echo(f'  {fault}', err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    cfg = loaded.unwrap()
    _open_log(cfg.log_path)
    stopping = Event()
    gevent.signal_handler(signal.SIGTERM, stopping.set)
    gevent.signal_handler(signal.SIGINT, stopping.set)
    node = compose(cfg)
    node.start()
    gc.freeze()
    stopping.wait()
    node.drain()


def _open_log(log_path: str) -> None:
    if not log_path:
        eliot.to_file(sys.stderr)
        return
    eliot.to_file(Path(log_path).open('a', encoding='utf-8', buffering=1))


if __name__ == '__main__':
    main()
