#!/usr/bin/env bash
# Plays the case once; TROUBLE=0 leaves the disruption out. Exit status: 1 broken, 0 kept, 2 not run.
cd "$(dirname "$0")/../.." && exec python3 -B review/5/case.py
