"""Steps on the explanation of a request, the log and the metrics."""

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
from trefoilpulley_node.direct.direct_metrics import COUNTERS
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.direct_metrics import GAUGES
from trefoilpulley_node.direct.direct_metrics import HISTOGRAMS
from trefoilpulley_node.direct.direct_metrics import PREFIX
from trefoilpulley_node.log_sink import LogSink
from trefoilpulley_node.log_sink import MAX_QUEUED_BYTES

LONG_TIMEOUT_S = 30.0
"""Limit of a wait that ends on an event, in seconds."""

SHORT_WAIT_S = 0.05
"""Time in which a sink that does not wait has stopped, in seconds."""

METRICS_PAGE = Path('docs/METRICS.md')


class ExplainSteps:
    """Steps on ``trefoilpulley explain``."""

    @staticmethod
    @given('the log lines')
    def write_log(context: Any) -> None:
        """Write the lines to a log file."""
        folder = tempfile.TemporaryDirectory()
        context.cleanups.append(folder.cleanup)
        context.log_file = Path(folder.name) / 'host.log'
        context.log_file.write_text(context.text, encoding='utf-8')

    @staticmethod
    @when('request "{request}" is explained')
    def explain(context: Any, request: str) -> None:
        """Run ``trefoilpulley explain`` on the log file."""
        context.result = CliRunner().invoke(
            main, ['explain', request, str(context.log_file)]
        )

    @staticmethod
    @then('the command shows the events "{names}"')
    def check_events(context: Any, names: str) -> None:
        """Check the events and their order in the output."""
        assert context.result.exit_code == 0, context.result.output
        lines = context.result.output.splitlines()
        found = [line[2:].split(' ')[2] for line in lines]
        assert found == names.split(', '), lines

    @staticmethod
    @then('the command fails with "{text}"')
    def check_failed(context: Any, text: str) -> None:
        """Check the exit code and the message."""
        assert context.result.exit_code == 1
        assert text in context.result.output


class _StoppedClock(Clock):
    """Clock whose time does not advance."""

    def now(self) -> float:
        return 5.0


class LogSinkSteps:
    """Steps on the log sink with a bounded queue."""

    @staticmethod
    @given('a log sink on a pipe that is not read')
    def make_log(context: Any) -> None:
        """Start a log sink that writes to a pipe."""
        context.reader, writer = os.pipe()
        context.cleanups.append(lambda: os.close(context.reader))
        context.sink = LogSink(writer, _StoppedClock())
        context.sink.start()

    @staticmethod
    @when(
        '{count:d} lines of one event and {other:d} line of another are logged'
    )
    def log(context: Any, count: int, other: int) -> None:
        """Log all lines before any other greenlet runs."""
        for number in range(count):
            context.sink({'event': 'flood', 'n': number, 'text': 'x' * 2000})
        for _ in range(other):
            context.sink({'event': 'rare'})
        gevent.sleep(0)

    @staticmethod
    @then('logging does not block and the queue is bounded')
    def check_bounded(context: Any) -> None:
        """Check the size of the queued lines."""
        queued_bytes = context.sink.queued_bytes
        assert 0 < queued_bytes <= MAX_QUEUED_BYTES, queued_bytes

    @staticmethod
    @then('the dropped lines are counted by event')
    def check_drops_counted(context: Any) -> None:
        """Check the number of dropped lines of each event."""
        assert context.sink.dropped['flood'] > 4000
        assert context.sink.dropped['rare'] == 0

    @staticmethod
    @when('the pipe is read and a line is logged')
    def read(context: Any) -> None:
        """Read the pipe, log a line, and read the pipe again."""
        os.set_blocking(context.reader, False)
        context.read = b''
        LogSinkSteps._read_all(context)
        context.sink({'event': 'after'})
        LogSinkSteps._read_all(context)

    @staticmethod
    @then('the log states how many lines were dropped')
    def check_drops_reported(context: Any) -> None:
        """Check the line that reports the dropped lines."""
        text = context.read.decode()
        assert '"event": "log-dropped"' in text
        found = sum(int(n) for n in re.findall(r'"flood": (\d+)}', text))
        assert found == context.sink.dropped['flood'], found
        assert text.rstrip().endswith('{"event": "after"}'), text[-80:]

    @staticmethod
    @when('the log sink stops while the pipe is full')
    def stop_while_full(context: Any) -> None:
        """Stop the sink, and read the pipe only after that has begun."""
        os.set_blocking(context.reader, False)
        context.read = b''
        stopping = gevent.spawn(context.sink.stop, LONG_TIMEOUT_S)
        stopping.join(SHORT_WAIT_S)
        while not stopping.ready():
            LogSinkSteps._read_all(context)
        context.bytes_lost = context.sink.queued_bytes

    @staticmethod
    @then('the log ends with the last line')
    def check_last_line(context: Any) -> None:
        """Check that the sink waited for its last line."""
        assert not context.bytes_lost, context.bytes_lost
        text = context.read.decode()
        assert text.endswith('{"event": "rare"}\n'), text[-80:]

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
    """Steps on the metrics of the proxy."""

    @staticmethod
    @when("the page of metrics is compared with the proxy's metrics")
    def compare(context: Any) -> None:
        """Collect the names of the metrics from the page and the code."""
        text = METRICS_PAGE.read_text(encoding='utf-8')
        context.page = set(re.findall(rf'^\| `({PREFIX}\w+)` ', text, re.M))
        names = [*COUNTERS, *HISTOGRAMS, *GAUGES, 'log_dropped']
        counters = {*COUNTERS, 'log_dropped'}
        context.code = {
            f'{PREFIX}{n}_total' if n in counters else f'{PREFIX}{n}'
            for n in names
        }

    @staticmethod
    @then('both list the same metrics')
    def check_equal(context: Any) -> None:
        """Check that the names are equal."""
        assert context.page == context.code, context.page ^ context.code

    @staticmethod
    @given(
        'metrics with a request of {duration_ms:d} ms and {count:d} dropped '
        'lines'
    )
    def make_metrics(context: Any, duration_ms: int, count: int) -> None:
        """Create metrics with one request and some dropped lines."""
        context.metrics = DirectMetrics()
        context.metrics.count('requests', 'session', 'done')
        context.metrics.observe(
            'request_seconds', duration_ms / 1000, 'session'
        )
        context.metrics.register_gauge('sessions', lambda: 4)
        context.metrics.register_dropped(lambda: {'statement-refused': count})

    @staticmethod
    @then('the text contains the lines')
    def check_text(context: Any) -> None:
        """Check that the rendered metrics contain each line."""
        found = context.metrics.render().decode().splitlines()
        for line in context.text.splitlines():
            assert line in found, (line, found)
