#!/usr/bin/env bash
# Benchmarks the placement decisions against baselines on a virtual clock, and the cost of a
# decision. Prints tables and writes build/bench.json; exit status 0 only within the bounds of
# bench/bounds.json.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build build --target rudderloom_bench rudderloom_cost | tail -n 1
build/bench/rudderloom_bench build/bench.json
build/bench/rudderloom_cost --benchmark_format=console --benchmark_out=build/cost.json \
  --benchmark_out_format=json 2>/dev/null
python3 tools/bounds.py
