"""Command that regenerates the recorded workloads."""

from __future__ import annotations

from pathlib import Path

import click

from trefoilpulley_standins.demo.tenants import list_tenant_work
from trefoilpulley_standins.demo.workload import dump_workload
from trefoilpulley_standins.demo.workload import generate_workload
from trefoilpulley_standins.deployment import DEPLOYMENTS

RECORDINGS = Path(__file__).with_name('recordings')
"""Directory of the recorded workloads."""


@click.command()
@click.option('--seed', default=1, show_default=True)
def main(seed: int) -> None:
    """Regenerate the recorded workload of every deployment."""
    for deployment in DEPLOYMENTS:
        steps = generate_workload(list_tenant_work(deployment), seed)
        dump_workload(recording_path(deployment.name), steps)


def recording_path(name: str) -> Path:
    """Return the path of a deployment's recorded workload."""
    return RECORDINGS / f'{name}.jsonl'


if __name__ == '__main__':
    main()
