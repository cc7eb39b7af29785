#!/usr/bin/env python3
"""Checks build/bench.json and build/cost.json against bench/bounds.json: counts and same-run ratios.

With --counts checks only the counts, which are deterministic for a given seed.
"""
import json
import pathlib
import sys


def main():
    bounds = json.loads(pathlib.Path("bench/bounds.json").read_text())
    bench = json.loads(pathlib.Path("build/bench.json").read_text())
    violations = check_counts(bounds, bench)
    if "--counts" not in sys.argv:
        violations += check_ratios(bounds)
    print("\n".join(violations) or "within the bounds")
    return 1 if violations else 0


def check_counts(bounds, bench):
    violations = []
    for name, bound in bounds["scenarios"].items():
        ours = bench[name]["ours"]
        if ours["of_bound"] < bound["of_bound"]:
            violations.append(f"{name}: {ours['of_bound']:.3f} of the bound, at least {bound['of_bound']}")
        if ours["moves"] > bound["moves"]:
            violations.append(f"{name}: {ours['moves']} moves, at most {bound['moves']}")
    return violations


def check_ratios(bounds):
    measured = json.loads(pathlib.Path("build/cost.json").read_text())["benchmarks"]
    cost = {each["name"]: each["cpu_time"] for each in measured}
    violations = []
    for ratio in bounds["cost_ratios"]:
        value = cost[ratio["of"]] / cost[ratio["to"]]
        if value > ratio["most"]:
            violations.append(f"{ratio['of']} costs {value:.2f} times {ratio['to']}, "
                          f"at most {ratio['most']}")
    return violations


if __name__ == "__main__":
    sys.exit(main())
