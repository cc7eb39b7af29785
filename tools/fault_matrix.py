#!/usr/bin/env python3
"""Generates docs/FAULTS.md from the cells (step and fault) that the tests record while they run.

usage: tools/fault_matrix.py BUILD_DIRECTORY [--check]
With --check writes nothing and exits with status 1 when the page differs from the recorded cells.
"""
import collections
import os
import pathlib
import subprocess
import sys
import tempfile

STEPS = ["accepted", "admitted", "queued", "claimed", "sent", "first byte", "mid-stream", "ended",
         "recorded", "order decided", "order intended", "order sent", "order taking effect",
         "order confirmed", "order recorded", "configuration written", "configuration spread",
         "configuration applied", "lease taken", "lease renewed", "lease handed over",
         "lease lapsed", "node joining", "node serving", "node leaving", "node gone"]
FAULTS = ["process killed", "frozen past its lease and thawed", "connection cut before the call",
          "connection cut during the call", "connection cut after the call", "order lost",
          "order late", "order doubled", "platform down", "platform slow",
          "platform answering 5xx", "platform losing its answer", "platform restored from a copy",
          "watch silent", "watch behind",
          "watch compacted", "node list stale", "load report late",
          "cache events late and with gaps", "endpoint killed",
          "endpoint restarted with empty memory", "endpoint leaving", "weight store saturated",
          "operators racing", "two entry nodes claiming at once", "planned stop"]

HEAD = """# Fault matrix

Made by `tools/fault_matrix.py` from the tests; don't edit. Rows are steps, columns are faults.
A cell names the test that proves it; an empty cell is *not proved*. In T-tests of orders and leases
a fault is switched on when the step is first reached: it strikes the node or endpoint concerned, or
the next message of its kind, or lasts for 20 s. Which mechanism each test depends on is shown by
`tools/mutate.sh`.

"""


def run_tests(build):
    with tempfile.NamedTemporaryFile(suffix=".cells") as file:
        environment = {**os.environ, "RUDDERLOOM_CELLS": file.name}
        result = subprocess.run(["ctest", "--test-dir", build, "-j", str(os.cpu_count())],
                              env=environment, capture_output=True, text=True, check=False)
        if result.returncode != 0:
            sys.exit("tests failed, no matrix was generated:\n" + result.stdout[-1500:])
        return [line.split("\t") for line in pathlib.Path(file.name).read_text().splitlines()]


def render_page(cells):
    singles, pairs = collections.OrderedDict(), collections.OrderedDict()
    tests = []
    for step, fault, test in sorted(set(map(tuple, cells))):
        if test not in tests:
            tests.append(test)
        target = pairs if " + " in fault else singles
        target.setdefault((step, fault), test)
    tests.sort()
    label = {test: f"T{i}" for i, test in enumerate(tests, 1)}
    lines = [HEAD, f"Single faults: {len(singles)} of {len(STEPS) * len(FAULTS)} cells proved; the "
             f"rest is *not proved*. Pairs: {len(pairs)} proved.\n"]
    lines.append("\n## Tests\n")
    lines += [f"- {label[test]}: {test}" for test in tests]
    lines.append("\n## Single faults\n")
    lines.append("| step | " + " | ".join(FAULTS) + " |")
    lines.append("|---" * (len(FAULTS) + 1) + "|")
    for step in STEPS:
        row = [label.get(singles.get((step, fault), ""), "") for fault in FAULTS]
        lines.append(f"| {step} | " + " | ".join(row) + " |")
    lines.append("\n## Pairs\n")
    lines += [f"- {step}: {fault} ({label[test]})" for (step, fault), test in pairs.items()]
    unknown = {key for key in singles if key[0] not in STEPS or key[1] not in FAULTS}
    if unknown:
        sys.exit(f"cells outside the matrix: {sorted(unknown)}")
    return "\n".join(lines) + "\n"


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else "build"
    text = render_page(run_tests(build))
    path = pathlib.Path("docs/FAULTS.md")
    if "--check" in sys.argv:
        if not path.exists() or path.read_text() != text:
            print("docs/FAULTS.md differs from what the tests prove; run tools/fault_matrix.py")
            return 1
        return 0
    path.write_text(text)
    print(next(line for line in text.splitlines() if line.startswith("Single faults:")))
    return 0


if __name__ == "__main__":
    sys.exit(main())
