"""Command line of the demonstration."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

# gevent must patch the standard library before any other import.
from pathlib import Path  # noqa: E402
import sys  # noqa: E402

import click  # noqa: E402

from trefoilpulley_standins._options import deployment_option  # noqa: E402
from trefoilpulley_standins.demo.report import dump_report  # noqa: E402
from trefoilpulley_standins.demo.report import summarize  # noqa: E402
from trefoilpulley_standins.demo.run import run_demo  # noqa: E402
from trefoilpulley_standins.deployment import find_deployment  # noqa: E402


@click.command()
@deployment_option
@click.option(
    '--dir',
    'directory',
    type=click.Path(path_type=Path),
    default=Path('build/demo'),
    show_default=True,
)
@click.option(
    '--seed', default=1, show_default=True, help='Seed of links and callers.'
)
def main(name: str, directory: Path, seed: int) -> None:
    """Run the demonstration; exit with status 1 if a guarantee is violated."""
    report = run_demo(find_deployment(name), directory, seed, click.echo)
    path = directory / 'report.json'
    path.write_text(dump_report(report), encoding='utf-8')
    lines = summarize(report)
    text = '\n'.join(lines) + '\n'
    (directory / 'summary.txt').write_text(text, encoding='utf-8')
    click.echo(text, nl=False)
    sys.exit(report.exit_status)


if __name__ == '__main__':
    main()
