#!/usr/bin/env python3
"""Compares build/bench.json and build/cost.json with bench/bounds.json: counts and same-run ratios.

With --counts only the counts, which are the same in every run of one seed.
"""
import json
import pathlib
import sys


def main():
    bounds = json.loads(pathlib.Path("bench/bounds.json").read_text())
    bench = json.loads(pathlib.Path("build/bench.json").read_text())
    broken = counts(bounds, bench)
    if "--counts" not in sys.argv:
        broken += ratios(bounds)
    print("\n".join(broken) or "within the bounds")
    return 1 if broken else 0


def counts(bounds, bench):
    broken = []
    for name, bound in bounds["scenarios"].items():
        ours = bench[name]["ours"]
        if ours["of_bound"] < bound["of_bound"]:
            broken.append(f"{name}: {ours['of_bound']:.3f} of the bound, at least {bound['of_bound']}")
        if ours["moves"] > bound["moves"]:
            broken.append(f"{name}: {ours['moves']} moves, at most {bound['moves']}")
    return broken


def ratios(bounds):
    measured = json.loads(pathlib.Path("build/cost.json").read_text())["benchmarks"]
    cost = {each["name"]: each["cpu_time"] for each in measured}
    broken = []
    for ratio in bounds["cost_ratios"]:
        value = cost[ratio["of"]] / cost[ratio["to"]]
        if value > ratio["most"]:
            broken.append(f"{ratio['of']} costs {value:.2f} times {ratio['to']}, "
                          f"at most {ratio['most']}")
    return broken


if __name__ == "__main__":
    sys.exit(main())
