#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps:target/review-3:review \
    exec python3 -S review/12/case.py
