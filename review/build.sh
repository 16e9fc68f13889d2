#!/bin/sh
# Builds what the scripts start. The stand-ins need the standard library alone,
# so that it is enough to check that they compile; the hosts come from the build
# of the deploy file.
cd "$(dirname "$0")/.." && exec python3 -B -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
'
