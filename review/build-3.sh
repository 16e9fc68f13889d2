#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start: the
# project's emulator of the platform, beside the libraries of deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/gevent || sh deploy/build.sh
rm -rf target/review-3
mkdir -p target/review-3
cp -R platform/emulator/src/trefoilpulley_emulator target/review-3/
rm -rf target/review-3/trefoilpulley_emulator/soak
python3 -m compileall -q target/review-3
