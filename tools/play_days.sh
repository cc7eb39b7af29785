#!/usr/bin/env bash
# Runs generated days (see make_days.py) on the users' bench and prints the rules that were
# violated.
# usage: tools/play_days.sh FLEETBENCH SITE WHY DAY.toml [DAY.toml ...]
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
site=$2
why=$3
shift 3
"$bench" build >/dev/null
play() { # DAY
  local out
  out=$(mktemp)
  "$bench" run "$site" "$1" --no-cpu --why "$why" >"$out" 2>&1 || true
  printf '%s: %s\n' "$(basename "$1" .toml)" "$(grep -m 1 -E '^[a-z].* [0-9]+/[0-9]+ +[01]\.[0-9]' "$out" | sed 's/^[^ ]* *//')"
  if grep -qE 'BROKEN|short of the gate' "$out"; then
    grep -E 'short of the gate|^rules broken' "$out" | sed 's/^/    /'
    grep -m 1 -A 12 -E '^[A-Z]+ at ' "$out" | grep -v 'event=' | sed 's/^/    /'
  fi
  rm -f "$out"
}
export -f play
export bench site why
printf '%s\n' "$@" | xargs -P 4 -I DAY bash -c 'play DAY'
