"""Plots of an experiment's figures against the swept field."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from trefoilpulley_standins.experiment.result import PointResult

DEFAULT_FIGURES = (
    'control messages/s mean',
    'control bytes/s mean',
    'cpu share mean',
    'rss KB mean',
    'service calls/s',
    'answer p50 ms',
    'answer p99 ms',
)
"""Names of the figures that are plotted by default."""

COLUMN_COUNT = 2
"""Number of plots in a row."""


def plot_results(
    results: Sequence[PointResult],
    path: Path,
    names: Sequence[str] = DEFAULT_FIGURES,
) -> None:
    """Write one image with a plot of each figure that the results contain.

    Parameters
    ----------
    results : Sequence[PointResult]
        Results of the points of one experiment.
    path : Path
        File to write; the suffix sets the format, such as ``.svg``.
    names : Sequence[str]
        Names of the figures to plot.
    """
    matplotlib.use('agg')
    from matplotlib import pyplot

    measured = [
        n for n in names if any(r.find(n) is not None for r in results)
    ]
    rows = -(-len(measured) // COLUMN_COUNT)
    figure, grid = pyplot.subplots(
        rows, COLUMN_COUNT, figsize=(10, 3 * rows), squeeze=False
    )
    for axes, name in zip(grid.flat, measured, strict=False):
        points = [(r.value, r.find(name)) for r in results]
        points = [(x, y) for x, y in points if y is not None]
        axes.plot(*zip(*points, strict=True), marker='o')
        axes.set_xlabel(results[0].path)
        axes.set_ylabel(name)
        axes.set_ylim(bottom=0)
    for axes in grid.flat[len(measured) :]:
        axes.remove()
    figure.suptitle(results[0].experiment)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
