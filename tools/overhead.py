#!/usr/bin/env python3
"""What an entry node adds to a request and to a streamed token: the same load sent through it and
straight to the engine stand-in, in one run. Prints a table."""
import json
import tempfile
import time
import urllib.request

from cluster import Cluster

REQUESTS = 300
TOKENS = 20


def ask(address, model, stream, tokens):
    """One completion; gives the seconds to the first and to the last byte, and between events."""
    body = json.dumps({"model": model, "prompt": "p", "stream": stream, "max_tokens": tokens})
    request = urllib.request.Request(f"http://{address}/v1/completions", data=body.encode(),
                                     headers={"Content-Type": "application/json"})
    started = time.perf_counter()
    with urllib.request.urlopen(request, timeout=20) as answer:
        moments = []
        for line in answer:
            if line.startswith(b"data:"):
                moments.append(time.perf_counter())
        last = time.perf_counter() - started
    first = moments[0] - started if moments else last
    gaps = [b - a for a, b in zip(moments, moments[1:])]
    return first, last, gaps


def median(values):
    return sorted(values)[len(values) // 2] * 1000 if values else 0.0


def measure(address, model):
    whole = [ask(address, model, False, 1)[1] for _ in range(REQUESTS)]
    firsts, gaps = [], []
    for _ in range(REQUESTS // 10):
        first, _, more = ask(address, model, True, TOKENS)
        firsts.append(first)
        gaps += more
    return median(whole), median(firsts), median(gaps)


def main():
    cluster = Cluster(tempfile.mkdtemp(prefix="rudderloom-overhead-"))
    try:
        cluster.start_platform()
        cluster.start_weight_store(load_ms=50, per_second=20)
        engine = cluster.start_endpoint("engine-1", "plan-writers", token_ms=1)
        node = cluster.start_node("entry-1")
        cluster.command("apply", "examples/port-board", "--daemon", node.peers, "--wait")
        cluster.wait_served(node)
        time.sleep(1)
        rows = {"straight to the engine": measure(engine.address, "slot-answers@2"),
                "through an entry node": measure(node.address, "slot-answers")}
        print(f"{'median, ms':24} {'one-token request':>18} {'first token':>12} {'between tokens':>15}")
        for name, values in rows.items():
            print(f"{name:24} {values[0]:18.3f} {values[1]:12.3f} {values[2]:15.3f}")
        straight, through = rows.values()
        added = [b - a for a, b in zip(straight, through)]
        print(f"{'added':24} {added[0]:18.3f} {added[1]:12.3f} {added[2]:15.3f}")
    finally:
        cluster.stop_all()


if __name__ == "__main__":
    main()
