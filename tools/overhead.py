#!/usr/bin/env python3
"""Measures the latency that an entry node adds per request and per streamed token, by sending the same
load through it and directly to the engine stand-in in one run. Prints a table."""
import json
import tempfile
import time
import urllib.request

from cluster import Cluster

REQUESTS = 300
TOKENS = 20


def time_completion(address, model, stream, tokens):
    """Sends one completion. Returns seconds to the first event, to the last byte and between events."""
    body = json.dumps({"model": model, "prompt": "p", "stream": stream, "max_tokens": tokens})
    request = urllib.request.Request(f"http://{address}/v1/completions", data=body.encode(),
                                     headers={"Content-Type": "application/json"})
    started = time.perf_counter()
    with urllib.request.urlopen(request, timeout=20) as answer:
        event_times = []
        for line in answer:
            if line.startswith(b"data:"):
                event_times.append(time.perf_counter())
        total = time.perf_counter() - started
    first = event_times[0] - started if event_times else total
    gaps = [b - a for a, b in zip(event_times, event_times[1:])]
    return first, total, gaps


def median(values):
    return sorted(values)[len(values) // 2] * 1000 if values else 0.0


def measure(address, model):
    totals = [time_completion(address, model, False, 1)[1] for _ in range(REQUESTS)]
    firsts, gaps = [], []
    for _ in range(REQUESTS // 10):
        first, _, stream_gaps = time_completion(address, model, True, TOKENS)
        firsts.append(first)
        gaps += stream_gaps
    return median(totals), median(firsts), median(gaps)


def main():
    cluster = Cluster(tempfile.mkdtemp(prefix="rudderloom-overhead-"))
    try:
        cluster.start_platform()
        cluster.start_weight_store(load_ms=50, per_second=20)
        engine = cluster.start_endpoint("engine-1", "plan-writers", token_ms=1)
        node = cluster.start_node("entry-1")
        cluster.command("apply", "examples/port-board", "--daemon", node.peers, "--wait")
        cluster.wait_until_resident(node)
        time.sleep(1)
        rows = {"directly to the engine": measure(engine.address, "slot-answers@2"),
                "through an entry node": measure(node.address, "slot-answers")}
        print(f"{'median, ms':24} {'one-token request':>18} {'first token':>12} {'between tokens':>15}")
        for name, values in rows.items():
            print(f"{name:24} {values[0]:18.3f} {values[1]:12.3f} {values[2]:15.3f}")
        direct, through = rows.values()
        added = [b - a for a, b in zip(direct, through)]
        print(f"{'added':24} {added[0]:18.3f} {added[1]:12.3f} {added[2]:15.3f}")
    finally:
        cluster.stop_all()


if __name__ == "__main__":
    main()
