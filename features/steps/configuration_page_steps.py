"""Steps on the documentation of the configuration."""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path
import re
from typing import Any

from behave import then
from behave import when

from trefoilpulley_cli.settings import OperatorSettings
from trefoilpulley_core.declarations_fault import FaultCode
from trefoilpulley_node.settings import NodeSettings

SUBJECTS = {
    'fault of declarations': set(FaultCode),
    'setting of the process': {f.name for f in fields(NodeSettings)},
    'setting of the command line': {f.name for f in fields(OperatorSettings)},
}
"""Names that the first column of a table must contain."""


class ConfigurationPageSteps:
    """Steps that compare the tables of a page with the code."""

    @staticmethod
    @when('the tables of the page "{path}" are read')
    def read_tables(context: Any, path: str) -> None:
        """Collect the names in the first columns of each section."""
        context.words = {}
        section = ''
        for line in Path(path).read_text().splitlines():
            if line.startswith('#'):
                section = line.lstrip('# ')
            elif line.startswith('| `'):
                first = line.split('|')[1]
                words = context.words.setdefault(section, set())
                words.update(re.findall('`([^`]+)`', first))

    @staticmethod
    @then('the table of the section "{section}" lists each {subject}')
    def expect_words(context: Any, subject: str, section: str) -> None:
        """Compare the names in the table with those in the code."""
        found = context.words[section]
        assert found == SUBJECTS[subject], found ^ SUBJECTS[subject]
