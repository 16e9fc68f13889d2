"""Command line options that several commands share."""

from __future__ import annotations

import click

from trefoilpulley_standins.deployment import DEPLOYMENTS

deployment_option = click.option(
    '--deployment',
    'name',
    type=click.Choice([d.name for d in DEPLOYMENTS]),
    default='karamanlis',
    show_default=True,
)
"""Option that selects a deployment by name."""
