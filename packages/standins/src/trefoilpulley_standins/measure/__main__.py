"""Command line of the measurements."""

from __future__ import annotations

from gevent import monkey

monkey.patch_all()

# The patch must come before every other import.
from trefoilpulley_standins.measure.commands import main  # noqa: E402

if __name__ == '__main__':
    main()
