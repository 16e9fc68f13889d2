"""Report of the demonstration."""

from __future__ import annotations

from dataclasses import dataclass
import json

from cattrs.preconf.json import make_converter


@dataclass(frozen=True, slots=True)
class ClassTarget:
    """Promptness target of a class."""

    within_ms: int
    """Time within which an answer is due, in milliseconds."""

    share: float
    """Share of the answers that must be in time."""


@dataclass(frozen=True, slots=True)
class ClassReport:
    """How a class of work did."""

    requests: int
    """Requests sent."""

    in_time: float
    """Share of the requests answered within the target's time."""

    p50_ms: float | None
    """Median time of the answers, in milliseconds."""

    p99_ms: float | None
    """99th percentile of the answers' time, in milliseconds."""

    target: ClassTarget
    """Target."""


@dataclass(frozen=True, slots=True)
class Report:
    """Keys of build/demo/report.json."""

    answered: int
    """Requests answered."""

    refused: int
    """Requests refused."""

    unknown: int
    """Requests whose outcome stayed unknown."""

    lost: int
    """Acknowledged writes that a member lacks at the end."""

    doubled: int
    """Requests that ran more than once."""

    mixed: int
    """Rows in another's transaction, and transactions in part."""

    wrong_answer: int
    """Answers to another request, or on another tenant's database."""

    ryw_violations: int
    """Reads that miss a write of their session."""

    stale_beyond_target: int
    """Reads staler than their class allows."""

    false_not_run: int
    """Requests that were called not run, and have run."""

    cut_by_planned_stop: int
    """Requests without an answer during the planned stop."""

    replica_read_share: float
    """Share of the reads served by replicas, where the class allows it."""

    failover_gap_s: float | None
    """Time without an acknowledged write at the loss of the primary."""

    return_gap_s: float | None
    """Time without an acknowledged write at the return."""

    config_in_force_s: float | None
    """Time until a new configuration was in force on every host."""

    classes: dict[str, ClassReport]
    """Classes of work."""

    @property
    def violations(self) -> dict[str, int]:
        """Counts that must be 0."""
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
        """Status of the command: 1 where a violation was counted."""
        return int(any(self.violations.values()))


def dump_report(report: Report) -> str:
    """Return the JSON text of a report."""
    document = make_converter().unstructure(report)
    return json.dumps(document, indent=2) + '\n'


def summarize(report: Report) -> list[str]:
    """Return the lines of a readable summary."""
    lines = [
        f'answered {report.answered}, refused {report.refused}, '
        f'unknown {report.unknown}',
        ', '.join(f'{k} {v}' for k, v in report.violations.items()),
        f'stale beyond target {report.stale_beyond_target}',
        f'reads at replicas {report.replica_read_share:.1%}',
        f'failover gap {_seconds(report.failover_gap_s)}, '
        f'return gap {_seconds(report.return_gap_s)}, '
        f'configuration in force {_seconds(report.config_in_force_s)}',
    ]
    for name, done in report.classes.items():
        lines.append(
            f'  {name}: {done.requests} requests, '
            f'{done.in_time:.1%} within {done.target.within_ms} ms '
            f'(target {done.target.share:.0%}), '
            f'p50 {done.p50_ms} ms, p99 {done.p99_ms} ms'
        )
    return lines


def _seconds(value: float | None) -> str:
    return 'not seen' if value is None else f'{value:.3f} s'
