#!/usr/bin/env bash
# Soak test over real processes with a seeded random fault every two seconds; prints the violations.
# usage: tools/soak.sh [--seconds N] [--seed S]   Exit status 0 only if every count is 0.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tools/soak.py "$@"
