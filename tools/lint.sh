#!/usr/bin/env bash
# Runs clang-format, clang-tidy and the check for duplicate type definitions on the project's
# sources;
# exit status 0 when all are clean.
# usage: tools/lint.sh BUILD_DIRECTORY
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t files < <(find include src platform tests bench -name '*.hpp' -o -name '*.cpp' 2>/dev/null | grep -v /generated/ | sort)
clang-format --dry-run --Werror "${files[@]}"
tools/unique_types.py include src/rudderloom platform tests/fakes
tools/unique_types.py include src/load src/standin bench
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
python3 tools/lint_files.py "$build" "${sources[@]}"
echo "format and linter are clean: ${#files[@]} files"
