"""Steps on the capacity experiments."""

from __future__ import annotations

from collections import Counter
from dataclasses import is_dataclass
from pathlib import Path
from typing import Any

from behave import given
from behave import then

from trefoilpulley_core.membership import messages as membership
from trefoilpulley_core import peer
from trefoilpulley_standins.experiment.callers import Callers
from trefoilpulley_standins.experiment.comparison import compare_results
from trefoilpulley_standins.experiment.figures import make_figures
from trefoilpulley_standins.experiment.figures import MEMBER_TRAFFIC_KINDS
from trefoilpulley_standins.experiment.figures import PEER_TRAFFIC_KINDS
from trefoilpulley_standins.experiment.figures import Window
from trefoilpulley_standins.experiment.probe import HostSample
from trefoilpulley_standins.experiment.probe import Sample
from trefoilpulley_standins.experiment.result import Figure
from trefoilpulley_standins.experiment.result import PointResult
from trefoilpulley_standins.experiment.spec import Load
from trefoilpulley_standins.experiment.spec import load_experiment
from trefoilpulley_standins.experiment.spec import parse_experiment
from trefoilpulley_wire import member_codec

EXPERIMENTS_DIR = Path('examples/experiments')
NESTED_TYPES = {'MemberDigest', 'Versions', 'WorkScope'}
MEMBER_WORK_MESSAGES = {
    'BeginTransaction',
    'CommitTransaction',
    'MemberDone',
    'MemberFailure',
    'MemberResult',
    'Read',
    'Resolve',
    'RollbackTransaction',
    'RunStatement',
    'Write',
}


def _sample(
    at_s: float, hosts: dict[str, list[str]], counts: dict[str, int]
) -> Sample:
    samples = [
        HostSample(name, pid, at_s, 0.0, 0.0, _state(members, counts))
        for pid, (name, members) in enumerate(hosts.items(), 1)
    ]
    return Sample(tuple(samples), Counter(), at_s)


def _state(members: list[str], counts: dict[str, int]) -> dict[str, Any]:
    peers = [
        {'message': m, 'messages': n, 'size_bytes': 100 * n}
        for m, n in counts.items()
    ]
    return {
        'entry': {'databases_in_use': 0},
        'pooler': {'members': [{'member': m} for m in members]},
        'traffic': {'peers': peers, 'members': []},
    }


def _messages_of(module: Any) -> set[str]:
    values = vars(module).values()
    return {
        kind.__name__
        for kind in values
        if is_dataclass(kind) and kind.__module__ == module.__name__
    }


def _figures(before: Sample, after: Sample) -> dict[str, float]:
    callers = Callers(None, Load(), 1)
    made = make_figures(Window(before, after), callers, 0)
    return {f.name: f.value for f in made}


def _result(value: float, figure: float) -> PointResult:
    figures = (Figure('control bytes/s mean', figure),)
    return PointResult('x', 'load.callers', value, 1, figures)


class CapacityExperimentSteps:
    """Steps on the files, figures and comparisons of experiments."""

    @staticmethod
    @given('a capacity experiment that sweeps "{path}" to {value:d}')
    def make_experiment(context: Any, path: str, value: int) -> None:
        """Parse an experiment with one point."""
        sweep = {'path': path, 'values': [value]}
        context.parsed = parse_experiment({'name': 'x', 'sweep': sweep})

    @staticmethod
    @given('a capacity experiment with the key "{key}"')
    def make_unknown_key(context: Any, key: str) -> None:
        """Parse an experiment with an unknown key."""
        sweep = {'path': 'load.callers', 'values': [1]}
        document = {'name': 'x', 'sweep': sweep, key: 1}
        context.parsed = parse_experiment(document)

    @staticmethod
    @given(
        'a capacity window of {span:g} s with {probes:d} probes and '
        '{reads:d} reads of 100 bytes'
    )
    def make_window(
        context: Any, span: float, probes: int, reads: int
    ) -> None:
        """Compute the figures of a window with probes and reads."""
        hosts = {'h1': []}
        before = {'Probe': 7, 'PooledRead': 3}
        after = {'Probe': 7 + probes, 'PooledRead': 3 + reads}
        context.figures = _figures(
            _sample(0.0, hosts, before), _sample(span, hosts, after)
        )

    @staticmethod
    @given('a capacity window in which "{moved}" moves and "{kept}" stays')
    def make_move(context: Any, moved: str, kept: str) -> None:
        """Compute the figures of a window in which a member moves."""
        before = {'h1': [moved], 'h2': [kept]}
        after = {'h1': [], 'h2': [kept, moved]}
        context.figures = _figures(
            _sample(0.0, before, {}), _sample(1.0, after, {})
        )

    @staticmethod
    @given(
        'capacity results at {one:g} and {two:g}, and others that are '
        'half as large'
    )
    def make_results(context: Any, one: float, two: float) -> None:
        """Compare two results, one with a point that the other lacks."""
        first = [_result(one, 8.0), _result(two, 16.0)]
        second = [_result(one, 4.0), _result(two, 8.0), _result(9.0, 1.0)]
        context.differences = list(compare_results(first, second))

    @staticmethod
    @then(
        'each capacity example is accepted and has at least {least:d} points'
    )
    def check_examples(context: Any, least: int) -> None:
        """Parse every example and expect enough points."""
        paths = list(EXPERIMENTS_DIR.glob('*.json'))
        assert paths
        for path in paths:
            found = load_experiment(path).unwrap()
            assert found.name == path.stem, path
            assert len(found.sweep.values) >= least, path

    @staticmethod
    @then('the capacity experiment is refused for "{fault}"')
    def check_refused(context: Any, fault: str) -> None:
        """Expect a fault whose text contains the reason."""
        faults = context.parsed.failure().faults
        assert any(fault in f for f in faults), faults

    @staticmethod
    @then('each message without a kind of control traffic is work')
    def check_traffic_kinds(context: Any) -> None:
        """Compare the messages of both codecs with the traffic kinds."""
        assert (
            _messages_of(member_codec) - set(MEMBER_TRAFFIC_KINDS)
            == MEMBER_WORK_MESSAGES
        )
        peers = _messages_of(peer) | _messages_of(membership)
        rest = peers - set(PEER_TRAFFIC_KINDS) - NESTED_TYPES
        assert all(name.startswith('Pooled') for name in rest), rest

    @staticmethod
    @then('the capacity figure "{name}" is {value:g}')
    def check_figure(context: Any, name: str, value: float) -> None:
        """Compare the value of one figure."""
        assert context.figures[name] == value, context.figures

    @staticmethod
    @then('each capacity difference has the ratio {ratio:g}')
    def check_ratios(context: Any, ratio: float) -> None:
        """Expect one difference for each point that both results have."""
        ratios = [d.ratio for d in context.differences]
        assert ratios == [ratio, ratio], ratios
