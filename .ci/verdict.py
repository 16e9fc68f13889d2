"""Counts the scenarios of a behave run, without failing on known faults."""

from __future__ import annotations

from dataclasses import dataclass
import json
from pathlib import Path
import sys

KNOWN_FAULTS_PATH = Path('KNOWN-RED.txt')
"""File of known faults; each entry begins with ``scenario: NAME``."""

ENTRY_PREFIX = 'scenario: '


@dataclass(frozen=True)
class Verdict:
    """Names of the scenarios of one run, by outcome."""

    passed: tuple[str, ...]
    """Names of the scenarios that passed."""

    failed: tuple[str, ...]
    """Names of the scenarios that did not pass."""


def read_verdict(path: Path) -> Verdict:
    """Read the outcomes from a report of behave's JSON formatter."""
    scenarios = [
        element
        for feature in json.loads(path.read_text(encoding='utf-8'))
        for element in feature.get('elements', ())
        if element['type'] == 'scenario'
    ]
    passed = [s['name'] for s in scenarios if s['status'] == 'passed']
    failed = [s['name'] for s in scenarios if s['status'] != 'passed']
    return Verdict(tuple(passed), tuple(failed))


def read_known_faults() -> tuple[str, ...]:
    """Read the names of the scenarios with known faults."""
    if not KNOWN_FAULTS_PATH.exists():
        return ()
    lines = KNOWN_FAULTS_PATH.read_text(encoding='utf-8').splitlines()
    return tuple(
        line.removeprefix(ENTRY_PREFIX)
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    )


def main() -> int:
    """Print the outcomes and return the exit code."""
    verdict = read_verdict(Path(sys.argv[1]))
    known_faults = read_known_faults()
    unexpected_failures = [
        name for name in verdict.failed if name not in known_faults
    ]
    for name in verdict.failed:
        label = 'known red' if name in known_faults else 'FAILED'
        print(f'{label}: {name}')
    if not verdict.passed:
        print('no scenario has run')
    print(f'{len(verdict.passed)} passed, {len(verdict.failed)} failed')
    return 1 if unexpected_failures or not verdict.passed else 0


if __name__ == '__main__':
    sys.exit(main())
