"""Command line of the capacity measurements."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

# gevent must patch the standard library before any other import.
from trefoilpulley_standins.measure.commands import main  # noqa: E402

if __name__ == '__main__':
    main()
