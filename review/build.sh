#!/usr/bin/env bash
# The stand-ins of these cases are Python sources in this folder: there is nothing to compile. This
# checks that the interpreter reads them and that the entry node of the deploy file was built.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/common/kit.py review/*/case.py review/findings/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source"
done
test -x target/src/rudderloom/app/rudderloom
