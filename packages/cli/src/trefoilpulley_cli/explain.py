"""Command ``explain``, which traces one request in log files."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any
from typing import TYPE_CHECKING

import click

from trefoilpulley_cli.invocation import json_option
from trefoilpulley_cli.report import Reporter
from trefoilpulley_cli.story import build_story
from trefoilpulley_cli.story import parse_record

if TYPE_CHECKING:
    from typing import TextIO

    from trefoilpulley_cli.story import LogRecord


@click.command()
@click.argument('request')
@click.argument('files', nargs=-1, required=True, type=click.File('r'))
@json_option
def explain(request: str, files: tuple[TextIO, ...], is_json: bool) -> None:
    """Show what happened to REQUEST according to the hosts' log FILES."""
    records = [
        record
        for file in files
        for line in file
        if (record := parse_record(line)) is not None
    ]
    story = build_story(records, request)
    reporter = Reporter(is_json)
    document = asdict(story)
    if not story.records:
        reporter.exit_with_error(
            document, [f'no line names the request {request}']
        )
    reporter.print(
        document, [_format_record(r, request) for r in story.records]
    )


def _format_record(record: LogRecord, request: str) -> str:
    marker = '*' if record.request == request else ' '
    fields = ' '.join(
        f'{name}={_format_value(value)}'
        for name, value in record.fields.items()
        if name != 'request' and value is not None
    )
    return f'{marker} {record.at:.3f} {record.host} {record.event} {fields}'


def _format_value(value: Any) -> str:
    text = str(value)
    return f'"{text}"' if ' ' in text else text
