"""Era of the platform's service, which rises when it loses writes."""

from __future__ import annotations

from trefoilpulley_node import events


class ServiceEra:
    """Newest era and revision that the answers of the service have shown."""

    def __init__(self) -> None:
        self.newest = 0
        """Newest era; 0 before the first answer that names one."""

        self._is_named = False
        self._revision = 0

    def observe(self, era: int, revision: int | None) -> bool:
        """Record an answer; return whether the service has lost writes since.

        Parameters
        ----------
        era : int
            Era that the answer names.
        revision : int | None
            Revision of the service in the answer, if it holds one.
        """
        if era < self.newest:
            return False
        is_restored = self._is_named and era > self.newest
        if is_restored:
            events.PLATFORM_RESTORED.log(
                era=era,
                revision=revision,
                last_era=self.newest,
                last_revision=self._revision,
            )
        self._is_named = True
        if era > self.newest:
            self.newest, self._revision = era, 0
        self._revision = max(self._revision, revision or 0)
        return is_restored
