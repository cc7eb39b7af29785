#!/usr/bin/env bash
# Checks the stand-ins of the second review. They are Python programs, which need no build, and use
# nothing beyond the standard library.
set -eu
cd "$(dirname "$0")"
python3 -B - common-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'PROGRAM'
import sys
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
PROGRAM
