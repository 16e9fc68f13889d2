#!/bin/sh
# Builds what the scripts start: the stand-ins need the standard library
# alone, so that compiling them is all. The hosts come from the build of the
# deploy file.
cd "$(dirname "$0")/.." && exec python3 -m py_compile review/common/world.py
