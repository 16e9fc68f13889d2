"""Parts of the figures: what a run does and what it finds."""

from __future__ import annotations

import abc
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_standins.demo.workload import Step
    from trefoilpulley_standins.deployment import Deployment
    from trefoilpulley_standins.figures.scene import Scene
    from trefoilpulley_standins.layout import Layout


@dataclass(frozen=True, slots=True)
class Finding:
    """Value of a figure."""

    figure: str
    """Name of the figure."""

    value: float | None
    """Value; None where the event did not come in time."""

    count: int = 1
    """Requests that the value rests on."""


class Part(abc.ABC):
    """One run of a deployment."""

    name: str
    """Name of the part."""

    def adapt(self, layout: Layout) -> Layout:
        """Return the layout that the part starts."""
        return layout

    @abc.abstractmethod
    def make_load(self, deployment: Deployment) -> tuple[Step, ...]:
        """Return the steps of the sessions."""

    @abc.abstractmethod
    def run(self, scene: Scene) -> Iterator[Finding]:
        """Do to the deployment what the part is for, and judge it."""
