#!/usr/bin/env bash
# Mutation testing: disables each mechanism of tools/mutations.json in a scratch copy, one at a
# time, and checks that its tests fail. Exit status 0 only if every mutation is caught.
# usage: tools/mutate.sh [PART OF A NAME]
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tools/mutate.py "$@"
