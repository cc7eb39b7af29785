#!/usr/bin/env bash
# Installs, builds and runs the end-to-end demos on loopback, first on the users' platform, then on
# the native interface; exit status 0 only if every answer was complete.
# --keep leaves the second one running and prints the addresses.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build build | tail -n 1
echo "== on the users' platform"
python3 tools/fleet_demo.py
echo "== on the native interface"
exec python3 tools/demo.py "$@"
