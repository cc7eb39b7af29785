#!/usr/bin/env bash
# Builds the daemon of an earlier commit into the user's cache folder and prints its path. For tests
# of two builds running side by side, as during an upgrade.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=${1:-537bfb1}
tree=${XDG_CACHE_HOME:-$HOME/.cache}/rudderloom-earlier/$commit
program=$tree/build/src/rudderloom/app/rudderloom
if [ ! -x "$program" ]; then
  if ! git cat-file -e "$commit^{commit}" 2>/dev/null; then
    echo "commit $commit is not in this repository's history: make a full clone" >&2
    exit 1
  fi
  mkdir -p "$tree"
  git archive "$commit" | tar x -C "$tree"
  cmake -S "$tree" -B "$tree/build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
    -DRUDDERLOOM_BUILD_TESTS=OFF -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >&2
  cmake --build "$tree/build" -j "$(nproc)" --target rudderloom | tail -n 1 >&2
fi
echo "$program"
