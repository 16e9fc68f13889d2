"""Counts the scenarios of a behave run, without failing on known faults."""

from __future__ import annotations

from dataclasses import dataclass
import json
from pathlib import Path
import sys
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

KNOWN_FAULTS_PATH = Path('KNOWN-RED.txt')
"""File of known faults; each entry begins with ``scenario: NAME``."""

ENTRY_PREFIX = 'scenario: '

MAX_MESSAGE_LENGTH = 2000
"""Number of characters of an error message that are printed."""


@dataclass(frozen=True)
class Failure:
    """Scenario that did not pass."""

    name: str
    """Name of the scenario."""

    steps: tuple[str, ...]
    """Steps that failed, each with the start of its error message."""


@dataclass(frozen=True)
class Verdict:
    """Scenarios of one run, by outcome."""

    passed: tuple[str, ...]
    """Names of the scenarios that passed."""

    failed: tuple[Failure, ...]
    """Scenarios that did not pass."""


def read_verdict(path: Path) -> Verdict:
    """Read the outcomes from a report of behave's JSON formatter."""
    scenarios = [
        element
        for feature in json.loads(path.read_text(encoding='utf-8'))
        for element in feature.get('elements', ())
        if element['type'] == 'scenario'
    ]
    passed = [s['name'] for s in scenarios if s['status'] == 'passed']
    failed = [
        Failure(s['name'], _describe_failed_steps(s['steps']))
        for s in scenarios
        if s['status'] != 'passed'
    ]
    return Verdict(tuple(passed), tuple(failed))


def _describe_failed_steps(
    steps: Iterable[Mapping[str, Any]],
) -> tuple[str, ...]:
    descriptions = []
    for step in steps:
        result = step.get('result', {})
        if result.get('status', 'skipped') in ('passed', 'skipped'):
            continue
        message = result.get('error_message', '')
        # behave writes a list of lines.
        text = message if isinstance(message, str) else '\n'.join(message)
        descriptions.append(
            f'{step["name"]}: {text[:MAX_MESSAGE_LENGTH] or result["status"]}'
        )
    return tuple(descriptions)


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
        f for f in verdict.failed if f.name not in known_faults
    ]
    for failure in verdict.failed:
        label = 'known red' if failure.name in known_faults else 'FAILED'
        print(f'{label}: {failure.name}')
        for step in failure.steps:
            print(f'  {step}')
    if not verdict.passed:
        print('no scenario has run')
    print(f'{len(verdict.passed)} passed, {len(verdict.failed)} failed')
    return 1 if unexpected_failures or not verdict.passed else 0


if __name__ == '__main__':
    sys.exit(main())
