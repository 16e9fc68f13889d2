"""Steps on the story of a request, the log and the metrics."""

from __future__ import annotations

import os
from pathlib import Path
import re
import tempfile
from typing import Any

from behave import given
from behave import then
from behave import when
from click.testing import CliRunner
import gevent

from trefoilpulley_cli.main import main
from trefoilpulley_core.clock import Clock
from trefoilpulley_node.log_sink import LogSink
from trefoilpulley_node.log_sink import MAX_QUEUED_BYTES
from trefoilpulley_node.proxy.proxy_metrics import COUNTERS
from trefoilpulley_node.proxy.proxy_metrics import GAUGES
from trefoilpulley_node.proxy.proxy_metrics import HISTOGRAMS
from trefoilpulley_node.proxy.proxy_metrics import PREFIX
from trefoilpulley_node.proxy.proxy_metrics import ProxyMetrics

METRICS_PAGE = Path('docs/METRICS.md')


class StorySteps:
    """Steps on ``trefoilpulley explain``."""

    @staticmethod
    @given('the log lines')
    def write_log(context: Any) -> None:
        """Write the lines to a file."""
        folder = tempfile.TemporaryDirectory()
        context.cleanups.append(folder.cleanup)
        context.log_file = Path(folder.name) / 'host.log'
        context.log_file.write_text(context.text, encoding='utf-8')

    @staticmethod
    @when('request "{request}" is explained')
    def explain(context: Any, request: str) -> None:
        """Run the command."""
        context.result = CliRunner().invoke(
            main, ['explain', request, str(context.log_file)]
        )

    @staticmethod
    @then('the story is "{names}"')
    def check_story(context: Any, names: str) -> None:
        """Check the events and their order."""
        assert context.result.exit_code == 0, context.result.output
        lines = context.result.output.splitlines()
        found = [line[2:].split(' ')[2] for line in lines]
        assert found == names.split(', '), lines

    @staticmethod
    @then('the command has failed with "{text}"')
    def check_failed(context: Any, text: str) -> None:
        """Check exit code and message."""
        assert context.result.exit_code == 1
        assert text in context.result.output


class _StillClock(Clock):
    """Time that stands still."""

    def now(self) -> float:
        return 5.0


class LogSteps:
    """Steps on the bounded log."""

    @staticmethod
    @given('a log that nobody reads')
    def make_log(context: Any) -> None:
        """Make a log on a pipe."""
        context.reader, writer = os.pipe()
        context.cleanups.append(lambda: os.close(context.reader))
        context.sink = LogSink(writer, _StillClock())
        context.sink.start()

    @staticmethod
    @when(
        '{count:d} lines of one event and {other:d} line of another are logged'
    )
    def log(context: Any, count: int, other: int) -> None:
        """Log without giving way to any reader."""
        for number in range(count):
            context.sink({'event': 'flood', 'n': number, 'text': 'x' * 2000})
        for _ in range(other):
            context.sink({'event': 'rare'})
        gevent.sleep(0)

    @staticmethod
    @then('logging never waited and the queue is bounded')
    def check_bounded(context: Any) -> None:
        """Check what waits for the reader."""
        waiting = context.sink.queued_bytes
        assert 0 < waiting <= MAX_QUEUED_BYTES, waiting

    @staticmethod
    @then('the dropped lines are counted by event')
    def check_counted(context: Any) -> None:
        """Check the counts."""
        assert context.sink.dropped['flood'] > 4000
        assert context.sink.dropped['rare'] == 0

    @staticmethod
    @when('the reader reads again and a line is logged')
    def read(context: Any) -> None:
        """Read everything, then log a line."""
        os.set_blocking(context.reader, False)
        context.read = b''
        LogSteps._read_all(context)
        context.sink({'event': 'after'})
        LogSteps._read_all(context)

    @staticmethod
    @then('the reader is told how many lines were dropped')
    def check_told(context: Any) -> None:
        """Check the line that counts the dropped ones."""
        text = context.read.decode()
        assert '"event": "log-dropped"' in text
        found = sum(int(n) for n in re.findall(r'"flood": (\d+)}', text))
        assert found == context.sink.dropped['flood'], found
        assert text.rstrip().endswith('{"event": "after"}'), text[-80:]

    @staticmethod
    def _read_all(context: Any) -> None:
        while True:
            gevent.sleep(0.001)
            try:
                context.read += os.read(context.reader, 1 << 20)
            except BlockingIOError:
                if not context.sink.queued_bytes:
                    return


class MetricsSteps:
    """Steps on the metrics of a proxy."""

    @staticmethod
    @when("the page of metrics is compared with the proxy's metrics")
    def compare(context: Any) -> None:
        """Read both."""
        text = METRICS_PAGE.read_text(encoding='utf-8')
        context.page = set(re.findall(rf'^\| `({PREFIX}\w+)` ', text, re.M))
        names = [*COUNTERS, *HISTOGRAMS, *GAUGES, 'log_dropped']
        counters = {*COUNTERS, 'log_dropped'}
        context.code = {
            f'{PREFIX}{n}_total' if n in counters else f'{PREFIX}{n}'
            for n in names
        }

    @staticmethod
    @then('both hold the same metrics')
    def check_equal(context: Any) -> None:
        """Expect no difference."""
        assert context.page == context.code, context.page ^ context.code

    @staticmethod
    @given('metrics with a request of {took:d} ms and {count:d} dropped lines')
    def make_metrics(context: Any, took: int, count: int) -> None:
        """Count one request and some dropped lines."""
        context.metrics = ProxyMetrics()
        context.metrics.count('requests', 'session', 'done')
        context.metrics.observe('request_seconds', took / 1000, 'session')
        context.metrics.register_gauge('sessions', lambda: 4)
        context.metrics.register_dropped(lambda: {'statement-refused': count})

    @staticmethod
    @then('the text holds')
    def check_text(context: Any) -> None:
        """Check each line."""
        found = context.metrics.render().decode().splitlines()
        for line in context.text.splitlines():
            assert line in found, (line, found)
