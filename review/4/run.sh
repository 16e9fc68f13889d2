#!/bin/sh
# Writes record.txt beside this file. Exit: 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec python3 -B review/4/case.py
