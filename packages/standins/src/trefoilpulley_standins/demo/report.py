"""Report of the demonstration."""

from __future__ import annotations

from dataclasses import dataclass
import json

from cattrs.preconf.json import make_converter


@dataclass(frozen=True, slots=True)
class ClassTarget:
    """Promptness target of a class of work."""

    within_ms: int
    """Maximum response time of a prompt answer, in milliseconds."""

    share: float
    """Share of the requests that must be answered in that time."""


@dataclass(frozen=True, slots=True)
class ClassReport:
    """Results of a class of work."""

    requests: int
    """Number of requests sent."""

    in_time: float
    """Share of the requests answered within the target's time limit."""

    p50_ms: float | None
    """Median response time in milliseconds."""

    p99_ms: float | None
    """99th percentile of the response time, in milliseconds."""

    target: ClassTarget
    """Promptness target."""


@dataclass(frozen=True, slots=True)
class Report:
    """Results of a run; the fields are the keys of report.json."""

    answered: int
    """Number of requests answered."""

    refused: int
    """Number of requests refused."""

    unknown: int
    """Number of requests whose outcome remained unknown."""

    lost: int
    """Acknowledged writes that are incomplete on some member."""

    doubled: int
    """Write requests that ran more than once."""

    mixed: int
    """Rows under the wrong session, and partial transactions."""

    wrong_answer: int
    """Misrouted answers, and unauthorized requests that were not denied."""

    ryw_violations: int
    """Reads that miss an earlier write of their own session."""

    stale_beyond_target: int
    """Reads that miss a write that their class requires."""

    false_not_run: int
    """Writes that were reported as not run but did run."""

    cut_by_planned_stop: int
    """Requests sent during the planned stop that got no answer."""

    replica_read_share: float
    """Share of the reads served by replicas, of classes that allow it."""

    failover_gap_s: float | None
    """Time without an acknowledged write at the failover, in seconds."""

    return_gap_s: float | None
    """Time without an acknowledged write at the failback, in seconds."""

    config_in_force_s: float | None
    """Time until all hosts applied a new configuration, in seconds."""

    classes: dict[str, ClassReport]
    """Results by class of work."""

    @property
    def violations(self) -> dict[str, int]:
        """Counts of violated guarantees; each must be 0."""
        return {
            'lost': self.lost,
            'doubled': self.doubled,
            'mixed': self.mixed,
            'wrong_answer': self.wrong_answer,
            'ryw_violations': self.ryw_violations,
            'false_not_run': self.false_not_run,
            'cut_by_planned_stop': self.cut_by_planned_stop,
        }

    @property
    def exit_status(self) -> int:
        """Exit status of the command: 1 if there is any violation, else 0."""
        return int(any(self.violations.values()))


def dump_report(report: Report) -> str:
    """Return the JSON text of a report."""
    document = make_converter().unstructure(report)
    return json.dumps(document, indent=2) + '\n'


def summarize(report: Report) -> list[str]:
    """Return the lines of a human-readable summary."""
    lines = [
        f'answered {report.answered}, refused {report.refused}, '
        f'unknown {report.unknown}',
        ', '.join(f'{k} {v}' for k, v in report.violations.items()),
        f'stale beyond target {report.stale_beyond_target}',
        f'reads at replicas {report.replica_read_share:.1%}',
        f'failover gap {_format_seconds(report.failover_gap_s)}, '
        f'return gap {_format_seconds(report.return_gap_s)}, '
        f'configuration in force {_format_seconds(report.config_in_force_s)}',
    ]
    for name, result in report.classes.items():
        lines.append(
            f'  {name}: {result.requests} requests, '
            f'{result.in_time:.1%} within {result.target.within_ms} ms '
            f'(target {result.target.share:.0%}), '
            f'p50 {result.p50_ms} ms, p99 {result.p99_ms} ms'
        )
    return lines


def _format_seconds(value: float | None) -> str:
    return 'not seen' if value is None else f'{value:.3f} s'
