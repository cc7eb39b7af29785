#!/usr/bin/env bash
# Measures the scaling figures for docs/CAPACITY.md. usage: tools/measure_slopes.sh [SERIES ...]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tools/slopes.py "$@"
