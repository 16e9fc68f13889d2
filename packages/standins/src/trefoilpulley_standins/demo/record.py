"""Command that draws the recorded workload of a deployment anew."""

from __future__ import annotations

from pathlib import Path

import click

from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.declarations import Tenant
from trefoilpulley_core.declarations import WorkKind
from trefoilpulley_standins.demo.workload import dump_workload
from trefoilpulley_standins.demo.workload import record_workload
from trefoilpulley_standins.demo.workload import TenantWork
from trefoilpulley_standins.deployment import DEPLOYMENTS
from trefoilpulley_standins.starting import load_declarations

RECORDINGS = Path(__file__).with_name('recordings')
"""Directory of the recordings."""


@click.command()
@click.option('--seed', default=1, show_default=True)
def main(seed: int) -> None:
    """Draw the recordings of every deployment."""
    for deployment in DEPLOYMENTS:
        declarations = load_declarations(deployment)
        tenants = tuple(
            _work_of(t, declarations) for t in declarations.tenants
        )
        steps = record_workload(tenants, deployment.databases, seed)
        dump_workload(recording_of(deployment.name), steps)


def recording_of(name: str) -> Path:
    """Return the path of a deployment's recording."""
    return RECORDINGS / f'{name}.jsonl'


def _work_of(tenant: Tenant, declarations: Declarations) -> TenantWork:
    names = [c for grant in tenant.grants for c in grant.classes]
    by_kind = {
        kind: tuple(
            n for n in names if declarations.find_class(n).work is kind
        )
        for kind in WorkKind
    }
    return TenantWork(
        tenant.name, by_kind[WorkKind.WRITE], by_kind[WorkKind.READ]
    )


if __name__ == '__main__':
    main()
