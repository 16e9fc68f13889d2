"""Starts a deployment with its example declarations."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from trefoilpulley_core.declarations_check import check_declarations
from trefoilpulley_standins._ports import PortAllocator
from trefoilpulley_standins.layout import LayoutBuilder
from trefoilpulley_standins.processes import Processes

if TYPE_CHECKING:
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_standins.deployment import Deployment
    from trefoilpulley_standins.layout import Layout

EXAMPLES_DIR = Path('examples')
"""Directory of the example declarations, relative to the repository root."""


def load_declarations(deployment: Deployment) -> Declarations:
    """Return the example declarations of a deployment."""
    path = EXAMPLES_DIR / f'{deployment.name}.json'
    return check_declarations(path.read_text(encoding='utf-8')).unwrap()


def make_layout(deployment: Deployment, directory: Path, seed: int) -> Layout:
    """Remove old logs and return a layout of a deployment on free ports."""
    directory.mkdir(parents=True, exist_ok=True)
    for pattern in ('*.log', '*.out'):
        for stale in directory.glob(pattern):
            stale.unlink()
    ports = PortAllocator()
    builder = LayoutBuilder(
        deployment, ports, load_declarations(deployment), directory, seed
    )
    layout = builder.build()
    ports.release()
    return layout


def start_deployment(layout: Layout, directory: Path) -> Processes:
    """Start all processes of a layout; stop them all if one fails."""
    processes = Processes(layout, directory)
    try:
        processes.start()
    except BaseException:
        processes.stop()
        raise
    return processes
