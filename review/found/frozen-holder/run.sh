#!/bin/sh
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../../.." && exec python3 review/found/frozen-holder/case.py
