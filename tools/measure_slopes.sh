#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md stands on. usage: tools/measure_slopes.sh [SERIES ...]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tools/slopes.py "$@"
