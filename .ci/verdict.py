"""Counts the scenarios of a behave run and passes over known faults."""

from __future__ import annotations

from dataclasses import dataclass
import json
from pathlib import Path
import sys

KNOWN_RED = Path('KNOWN-RED.txt')
"""Each entry begins with a line ``scenario: NAME``."""

PREFIX = 'scenario: '


@dataclass(frozen=True)
class Verdict:
    """Scenarios of one run by outcome."""

    passed: tuple[str, ...]
    """Names of the scenarios that passed."""

    failed: tuple[str, ...]
    """Names of the scenarios that did not pass."""


def read_verdict(path: Path) -> Verdict:
    """Return the outcomes in a report of behave's JSON formatter."""
    scenarios = [
        element
        for feature in json.loads(path.read_text(encoding='utf-8'))
        for element in feature.get('elements', ())
        if element['type'] == 'scenario'
    ]
    passed = [s['name'] for s in scenarios if s['status'] == 'passed']
    failed = [s['name'] for s in scenarios if s['status'] != 'passed']
    return Verdict(tuple(passed), tuple(failed))


def read_known_red() -> tuple[str, ...]:
    """Return the names of the scenarios with known faults."""
    if not KNOWN_RED.exists():
        return ()
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return tuple(
        line.removeprefix(PREFIX) for line in lines if line.startswith(PREFIX)
    )


def main() -> int:
    """Print the verdict and return the exit code."""
    verdict = read_verdict(Path(sys.argv[1]))
    known = read_known_red()
    unexpected = [name for name in verdict.failed if name not in known]
    for name in verdict.failed:
        label = 'known red' if name in known else 'FAILED'
        print(f'{label}: {name}')
    if not verdict.passed:
        print('no scenario has run')
    print(f'{len(verdict.passed)} passed, {len(verdict.failed)} failed')
    return 1 if unexpected or not verdict.passed else 0


if __name__ == '__main__':
    sys.exit(main())
