"""Steps on the check of declarations."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_core.caller import Begin
from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.declarations_check import check_declarations
from trefoilpulley_core.declarations_form import format_declarations
from trefoilpulley_core.failure import NotAuthorized
from trefoilpulley_node.pipeline.classify import ClassificationFilter
from trefoilpulley_node.pipeline.request import PipelineRequest

_FILING = '{"work": "write", "promptness": {"within_ms": 2000, "share": 0.99}}'


def _document(sections: dict[str, str]) -> str:
    parts = (f'{json.dumps(k)}: {v}' for k, v in sections.items())
    return '{' + ', '.join(parts) + '}'


class DeclarationsSteps:
    """Steps that build and check documents of declarations."""

    @staticmethod
    @given('declarations with the only class "{name}" defined by')
    def define_class(context: Any, name: str) -> None:
        """Build a document whose only class has the given text."""
        classes = _document({name: context.text})
        context.document = _document({'classes': classes, 'tenants': '{}'})

    @staticmethod
    @given('declarations with the section "{section}" replaced by')
    def replace_section(context: Any, section: str) -> None:
        """Build a valid document and replace one section."""
        sections = {
            'classes': _document({'filing': _FILING}),
            'tenants': '{}',
        }
        sections[section] = context.text
        context.document = _document(sections)

    @staticmethod
    @given('the declarations text {text}')
    def use_text(context: Any, text: str) -> None:
        """Use a raw text as the document."""
        context.document = text

    @staticmethod
    @given('a declarations text of {size:d} bytes')
    def make_long_text(context: Any, size: int) -> None:
        """Build an empty document padded to a given size."""
        context.document = '{}'.ljust(size)

    @staticmethod
    @given('the platform lists the ledger "{name}" for declarations')
    def list_ledger(context: Any, name: str) -> None:
        """Set the ledgers that the platform lists."""
        context.ledgers = (name,)

    @staticmethod
    @when('the declarations file "{path}" is checked')
    def check_file(context: Any, path: str) -> None:
        """Check a document in the repository."""
        context.document = Path(path).read_text()
        DeclarationsSteps.check(context)

    @staticmethod
    @when('the declarations are checked')
    def check(context: Any) -> None:
        """Check the document that was built."""
        ledgers = getattr(context, 'ledgers', None)
        context.checked = check_declarations(context.document, ledgers)

    @staticmethod
    @then('the declarations are accepted')
    def expect_accepted(context: Any) -> None:
        """Expect that the document has no fault."""
        context.checked.unwrap()

    @staticmethod
    @then('the declarations have the classes "{names}"')
    def expect_classes(context: Any, names: str) -> None:
        """Compare the names of the classes."""
        found = [c.name for c in context.checked.unwrap().classes]
        assert found == names.split(', '), found

    @staticmethod
    @then('the formatted declarations are parsed to the same declarations')
    def expect_same(context: Any) -> None:
        """Format the declarations, parse the text and compare."""
        original = context.checked.unwrap()
        parsed = check_declarations(format_declarations(original)).unwrap()
        assert parsed == original

    @staticmethod
    @then("the declarations' faults are")
    def expect_faults(context: Any) -> None:
        """Compare the paths and codes of all faults."""
        found = [(f.path, f.code.value) for f in context.checked.failure()]
        expected = [(row['path'], row['code']) for row in context.table]
        assert sorted(found) == sorted(expected), found

    @staticmethod
    @then('the declarations\' only fault is "{code}" at "{path}"')
    def expect_fault(context: Any, code: str, path: str) -> None:
        """Compare the path and the code of the only fault."""
        found = [(f.path, f.code.value) for f in context.checked.failure()]
        assert found == [(path, code)], found

    @staticmethod
    @then('the declarations\' fault codes are "{code}"')
    def expect_codes(context: Any, code: str) -> None:
        """Expect faults of one code only."""
        found = {f.code.value for f in context.checked.failure()}
        assert found == {code}, found

    @staticmethod
    @then(
        'the tenant "{tenant}" is {outcome} "{name}" on the database '
        '"{database}" of the ledger "{ledger}"'
    )
    def expect_right(
        context: Any,
        tenant: str,
        outcome: str,
        name: str,
        database: str,
        ledger: str,
    ) -> None:
        """Apply the filter that checks rights to a request."""
        declarations = context.checked.unwrap()
        entry = DatabaseEntry(database, ledger, ())
        step = ClassificationFilter(lambda: declarations, lambda name: entry)
        message = Begin(name, database)
        found = step.apply(PipelineRequest(tenant, message, 0.0))
        if outcome == 'granted':
            assert found.unwrap().work_class.name == name
        else:
            assert isinstance(found.failure(), NotAuthorized), found
