"""Messages in which hosts pass on the configuration in force."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True)
class ConfigurationQuestion:
    """Request for a configuration that is newer than the asker's."""

    version: int
    """Version that the asking host has in force; 0 for none."""


@dataclass(frozen=True, slots=True)
class ConfigurationAnswer:
    """Newer configuration of the answering host, if it has one."""

    version: int = 0
    """Version of the configuration; 0 if there is nothing newer."""

    value: bytes = field(default=b'', repr=False)
    """Configuration document with hashes instead of keys, or empty."""
