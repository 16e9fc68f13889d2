"""Interface of the parts, each of which measures certain figures."""

from __future__ import annotations

import abc
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_standins.demo.workload import Step
    from trefoilpulley_standins.deployment import Deployment
    from trefoilpulley_standins.figures.testbed import Testbed
    from trefoilpulley_standins.layout import Layout


@dataclass(frozen=True, slots=True)
class Measurement:
    """Value of a figure measured in a run."""

    figure: str
    """Name of the figure."""

    value: float | None
    """Measured value; ``None`` if the event did not occur in time."""

    count: int = 1
    """Number of requests on which the value is based."""


class Part(abc.ABC):
    """Procedure that runs a deployment and measures figures."""

    name: str
    """Name of the part, as given on the command line."""

    def adapt_layout(self, layout: Layout) -> Layout:
        """Return the layout with the changes that the part requires."""
        return layout

    @abc.abstractmethod
    def make_load(self, deployment: Deployment) -> tuple[Step, ...]:
        """Return the steps of the sessions that generate the load."""

    @abc.abstractmethod
    def run(self, testbed: Testbed) -> Iterator[Measurement]:
        """Exercise the deployment under load and yield the figures."""
