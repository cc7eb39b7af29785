#!/usr/bin/env python3
"""Measures how the control-plane cost of an entry node scales with nodes, endpoints, models and changes.

usage: tools/measure_slopes.sh [nodes|endpoints|models|changes ...]
Prints one line per size: CPU time of the control thread and of the whole idle process, bytes per
second exchanged with platform, peers and endpoints, platform calls per second, and resident memory.
Each value is the mean over the entry nodes within one measuring window.
"""
import json
import pathlib
import sys
import tempfile
import time
import urllib.request

from cluster import Cluster

WINDOW_SECONDS = 6.0
SETTLE_SECONDS = 3.0


def scrape(node):
    with urllib.request.urlopen(f"http://{node.address}/metrics", timeout=5) as answer:
        text = answer.read().decode()
    values = {}
    for line in text.splitlines():
        if not line.startswith("#"):
            key, value = line.rsplit(" ", 1)
            values[key] = float(value)
    stat = pathlib.Path(f"/proc/{node.child.pid}/stat").read_text().split()
    values["cpu"] = (int(stat[13]) + int(stat[14])) / 100.0
    status = pathlib.Path(f"/proc/{node.child.pid}/status").read_text()
    values["rss"] = next(int(line.split()[1]) for line in status.splitlines()
                         if line.startswith("VmRSS")) / 1024
    return values


def difference(before, after, prefix):
    return sum(after.get(key, 0) - before.get(key, 0) for key in after if key.startswith(prefix))


def models_json(count):
    return json.dumps({"models": [{"name": f"model-{i}", "version": "1", "pool": "p",
                                   "memory": "256MiB"} for i in range(count)]})


def measure(nodes=4, endpoints=8, models=40, changes_per_second=0.0):
    cluster = Cluster(tempfile.mkdtemp(prefix="rudderloom-slopes-"))
    try:
        cluster.start_platform()
        cluster.start_weight_store(load_ms=10, per_second=1000)
        for i in range(endpoints):
            cluster.start_endpoint(f"e{i}", "p", memory="48GiB")
        settings = {"residency": {"loads_per_second": 200.0, "loads_at_once": 64, "plan_every": "100ms"}}
        started = [cluster.start_node(f"n{i}", f"zone-{i % 3}", settings) for i in range(nodes)]
        folder = cluster.folder / "set"
        folder.mkdir()
        (folder / "all.json").write_text(models_json(models))
        cluster.command("apply", str(folder), "--daemon", started[0].peers, "--wait",
                        "--wait-time", "30s")
        cluster.wait_until_resident(started[0], 120)
        time.sleep(SETTLE_SECONDS)
        before = [scrape(node) for node in started]
        window_start = time.monotonic()
        changes = 0
        while time.monotonic() - window_start < WINDOW_SECONDS:
            if changes_per_second > 0 and changes < (time.monotonic() - window_start) * changes_per_second:
                undo = ["--undo"] if changes % 2 else []
                cluster.command("drain", "nobody", "--daemon", started[0].peers, *undo, check=False)
                changes += 1
            time.sleep(0.02)
        window = time.monotonic() - window_start
        after = [scrape(node) for node in started]
        mean = lambda values: sum(values) / len(values) / window
        pairs = list(zip(before, after))
        return {
            "control %": 100 * mean([difference(b, a, "rudderloom_control_cpu_seconds")
                                     for b, a in pairs]),
            "process %": 100 * mean([difference(b, a, "cpu") for b, a in pairs]),
            "platform B/s": mean([difference(b, a, 'rudderloom_control_bytes_total{with="platform"')
                                  for b, a in pairs]),
            "peers B/s": mean([difference(b, a, 'rudderloom_control_bytes_total{with="peers"')
                               for b, a in pairs]),
            "endpoints B/s": mean([difference(b, a, 'rudderloom_control_bytes_total{with="endpoi')
                                   for b, a in pairs]),
            "platform calls/s": mean([difference(b, a, "rudderloom_platform_calls_total")
                                      for b, a in pairs]),
            "MB": sum(a["rss"] for a in after) / len(after),
        }
    finally:
        cluster.stop_all()


SERIES = {
    "nodes": [{"nodes": n} for n in (2, 4, 8, 16, 32)],
    "endpoints": [{"endpoints": n} for n in (8, 24, 72, 200)],
    "models": [{"models": n} for n in (40, 100, 200)],
    "changes": [{"changes_per_second": n} for n in (0.0, 1.0, 4.0)],
}


def main():
    for name in sys.argv[1:] or SERIES:
        print(f"== {name}")
        for size in SERIES[name]:
            result = measure(**size)
            value = next(iter(size.values()))
            print(f"{value!s:>6}  " + "  ".join(f"{key} {number:.2f}"
                                              for key, number in result.items()), flush=True)


if __name__ == "__main__":
    main()
