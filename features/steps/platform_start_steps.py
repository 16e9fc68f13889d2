"""Steps on the start of a host."""

from __future__ import annotations

import os
from pathlib import Path
import shutil
import signal
import subprocess  # noqa: S404
import sys
import sysconfig
import tempfile
import tomllib
from typing import Any

from behave import given
from behave import then
from behave import when
from gevent import get_hub

import trefoilpulley_core
import trefoilpulley_node
import trefoilpulley_platform
from trefoilpulley_platform.platform_settings import SETTINGS_ENV_VAR
import trefoilpulley_wire

DEPLOY_FILE = Path('deploy/system.toml')
"""File that tells the platform how to start a host."""

LOAD_PROGRAM = (
    'import sys, trefoilpulley_platform.__main__;'
    "print('site' in sys.modules)"
)
"""Loads the program and prints whether ``site`` was loaded."""

PACKAGES = (
    trefoilpulley_core,
    trefoilpulley_node,
    trefoilpulley_platform,
    trefoilpulley_wire,
)
"""Packages that the build puts on Python's path."""


class StartSteps:
    """Steps on the interpreter that runs a host."""

    @staticmethod
    @when(
        'the program is loaded with the interpreter options of the deploy file'
    )
    def load(context: Any) -> None:
        """Load the program in a new interpreter, as the platform does."""
        deploy = tomllib.loads(DEPLOY_FILE.read_text(encoding='utf-8'))
        words = deploy['roles']['entry']['run'].split()
        options = words[1 : words.index('-m')]
        context.output = subprocess.run(
            [sys.executable, *options, '-c', LOAD_PROGRAM],
            env={**os.environ, 'PYTHONPATH': _library_path()},
            capture_output=True,
            text=True,
            check=True,
        ).stdout

    @staticmethod
    @then('the interpreter has not loaded the site packages of the machine')
    def check(context: Any) -> None:
        """Check that only the declared libraries are available."""
        assert context.output.strip() == 'False', context.output


class SettingsChangeSteps:
    """Steps on a change of the settings while a host starts."""

    @staticmethod
    @given('a host that is reading its settings')
    def start(context: Any) -> None:
        """Start a host whose settings are a pipe, and open the pipe."""
        directory = tempfile.mkdtemp()
        context.cleanups.append(lambda: shutil.rmtree(directory))
        settings = Path(directory, 'settings')
        os.mkfifo(settings)
        context.process = subprocess.Popen(
            [sys.executable, '-m', 'trefoilpulley_platform'],
            env={
                **os.environ,
                'PYTHONPATH': _library_path(),
                SETTINGS_ENV_VAR: str(settings),
            },
            stderr=subprocess.DEVNULL,
        )
        context.cleanups.append(context.process.kill)
        # The pipe can be opened as soon as the host opens it to read.
        context.settings = get_hub().threadpool.apply(
            settings.open, ('w',), {'encoding': 'utf-8'}
        )

    @staticmethod
    @when('the host is told that its settings have changed')
    def send_signal(context: Any) -> None:
        """Send the signal that tells a change of the settings."""
        context.process.send_signal(signal.SIGHUP)

    @staticmethod
    @when('it gets settings that are invalid')
    def write_settings(context: Any) -> None:
        """Write settings that end the process."""
        with context.settings as file:
            file.write('not = settings')

    @staticmethod
    @then('it exits with status {status:d}')
    def check_status(context: Any, status: int) -> None:
        """Compare the exit status; a signal gives a negative one."""
        found = context.process.wait()
        assert found == status, found


def _library_path() -> str:
    paths = [str(Path(p.__file__).parents[1]) for p in PACKAGES]
    paths.append(sysconfig.get_path('purelib'))
    return os.pathsep.join(paths)
