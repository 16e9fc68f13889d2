"""Starts and stops the processes of a deployment on this machine."""

from __future__ import annotations

from dataclasses import replace
import json
import os
from pathlib import Path
import subprocess
import sys
import time
from typing import TYPE_CHECKING

from trefoilpulley_node.settings_file import format_settings
from trefoilpulley_standins.member.settings import GroupSettings

if TYPE_CHECKING:
    from trefoilpulley_standins.layout import Layout

READY_TIMEOUT_S = 15.0
"""Longest wait until a process accepts connections, in seconds."""

STOP_TIMEOUT_S = 5.0
"""Longest wait after SIGTERM until a process exits, in seconds."""

_POLL_INTERVAL_S = 0.02


class ProcessError(RuntimeError):
    """A process exited early, or was not ready in time."""


class Processes:
    """Starts and stops the processes of a layout.

    Parameters
    ----------
    layout : Layout
        Settings of the processes.
    directory : Path
        Directory of the settings files and log files.
    """

    def __init__(self, layout: Layout, directory: Path) -> None:
        self._layout = layout
        self._directory = directory
        self._running: dict[str, subprocess.Popen] = {}

    def start(self) -> None:
        """Start all processes, in the order of their dependencies."""
        self._write_settings()
        control = str(self._layout.platform_control.port)
        platform = self._directory / 'platform.json'
        self._start_module(
            'platform', '--port', control, '--seed-file', platform
        )
        self._start_module('links', self._directory / 'links.json')
        for member in self._layout.members.members:
            self.start_member(member.name)
        self._wait_until_announced()
        for host in self._layout.hosts:
            self.start_host(host.host)
        self._wait_until_listening()

    def start_member(self, name: str) -> None:
        """Start a member."""
        path = self._directory / 'members.json'
        self._start_module('member', path, '--name', name, key=name)

    def restart_member(self, name: str) -> None:
        """Restart a member that has lost its log."""
        path = self._directory / 'rejoining.json'
        members = tuple(
            replace(m, is_rejoining=True) for m in self._layout.members.members
        )
        self._write_private(path, format_settings(GroupSettings(members)))
        self._start_module('member', path, '--name', name, key=name)

    def start_host(self, name: str) -> None:
        """Start an entry host."""
        settings = self._directory / f'{name}.json'
        module = 'trefoilpulley_node.main'
        self._start(name, module, '--settings', settings)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its exit."""
        process = self._running.pop(name)
        process.kill()
        process.wait()

    def stop(self) -> None:
        """Terminate all processes, and kill those that do not exit in time."""
        for process in self._running.values():
            process.terminate()
        for process in self._running.values():
            _wait_for_exit(process)
        self._running.clear()

    def pid_of(self, name: str) -> int:
        """Return the process id of a running process."""
        return self._running[name].pid

    def _start_module(self, module: str, *args: object, key: str = '') -> None:
        self._start(key or module, f'trefoilpulley_standins.{module}', *args)

    def _start(self, key: str, module: str, *args: object) -> None:
        path = self._output_path(key)
        command = [sys.executable, '-m', module, *map(str, args)]
        with path.open('wb') as out:
            self._running[key] = subprocess.Popen(
                command, stdout=out, stderr=subprocess.STDOUT
            )

    def _output_path(self, key: str) -> Path:
        return self._directory / f'{key.replace("/", "-")}.out'

    def _write_settings(self) -> None:
        layout = self._layout
        files = {
            'members': format_settings(layout.members),
            'platform': format_settings(layout.platform),
            'links': format_settings(layout.links),
        }
        files.update({cfg.host: format_settings(cfg) for cfg in layout.hosts})
        for name, text in files.items():
            self._write_private(self._directory / f'{name}.json', text)

    def _write_private(self, path: Path, text: str) -> None:
        path.unlink(missing_ok=True)
        with os.fdopen(
            os.open(path, os.O_WRONLY | os.O_CREAT, 0o600), 'w'
        ) as file:
            file.write(text)

    def _wait_until_announced(self) -> None:
        for key, process in self._running.items():
            path = self._output_path(key)
            _wait_until_ready(lambda p=path: _is_announced(p), key, process)

    def _wait_until_listening(self) -> None:
        listening = {h.host: h.listen.port for h in self._layout.hosts}
        for host, port in listening.items():
            process = self._running[host]
            _wait_until_ready(lambda p=port: is_listening(p), host, process)


def is_listening(port: int) -> bool:
    """Return whether a process listens on a loopback port."""
    hexadecimal = f':{port:04X} 00000000:0000 0A'
    return hexadecimal in Path('/proc/net/tcp').read_text(encoding='ascii')


def _is_announced(path: Path) -> bool:
    text = path.read_text(encoding='utf-8')
    line = text.partition('\n')[0]
    try:
        return 'port' in json.loads(line)
    except ValueError:
        return False


def _wait_until_ready(is_ready, key: str, process: subprocess.Popen) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while not is_ready():
        if process.poll() is not None or time.monotonic() > deadline:
            raise ProcessError(key)
        time.sleep(_POLL_INTERVAL_S)


def _wait_for_exit(process: subprocess.Popen) -> None:
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
