#!/bin/sh
# Puts the pinned libraries and the packages under target/deps.
set -eu
stamp=target/.libraries
if ! cmp -s constraints.txt "$stamp"; then
    python3 -m pip install -q -U --target target/deps \
        -c constraints.txt -r deploy/requirements.txt
    cp constraints.txt "$stamp"
fi
rm -rf target/deps/trefoilpulley_*
for source in packages/core packages/wire packages/node platform; do
    cp -R "$source"/src/trefoilpulley_* target/deps/
done
python3 -m compileall -q target/deps/trefoilpulley_*
