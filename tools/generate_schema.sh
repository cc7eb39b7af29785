#!/usr/bin/env bash
# Regenerates the committed Cap'n Proto code. Needs Debian's capnproto package; the build does not.
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/rudderloom/generated
capnp compile -oc++:"$out" --src-prefix=schema schema/crashes.capnp schema/operator.capnp schema/peer.capnp schema/node.capnp schema/fleet.capnp
for name in crashes operator peer node fleet; do
  mv "$out/$name.capnp.c++" "$out/$name.capnp.cpp"
done
