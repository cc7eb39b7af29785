#!/usr/bin/env python3
"""End-to-end demo on the users' platform: three entry nodes, engines and services, with failures.

usage: tools/fleet_demo.py      exit status 0 only when every answer was complete
"""
import json
import pathlib
import sys
import tempfile
import time

from cluster import ROOT
from fleet import MODELS, NODES, send_request, start_fleet, expected_stream

READY_TIMEOUT_SECONDS = 20


def send_all_kinds(fleet, nodes, title):
    """Sends one request of each kind to each node and returns how many answers were wrong."""
    wrong = sent = 0
    for node in nodes:
        for kind, model in [("once", ""), ("safe", "")] + [("stream", m + "/a1") for m in MODELS]:
            request_id = f"{title.replace(' ', '-')}-{node}-{kind}-{model.replace('/', '-')}"
            status, body = send_request(fleet.caller_address(node), kind, model, request_id)
            expected = (expected_stream(request_id, model) if model
                        else json.dumps({"id": request_id}, separators=(",", ":")))
            sent += 1
            if status != 200 or body != expected:
                wrong += 1
                print(f"  {request_id}: status {status}")
    print(f"{title}: {sent - wrong} of {sent} answers complete")
    return wrong


def wait_until_ready(fleet, nodes):
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    for node in nodes:
        while send_request(fleet.caller_address(node), "stream", "m", f"ready-{node}")[0] != 200:
            if time.monotonic() > deadline:
                raise RuntimeError(f"{node} does not serve")
            time.sleep(0.1)


def run(fleet):
    nodes = [f"n{i}" for i in range(NODES)]
    wait_until_ready(fleet, nodes)
    wrong = send_all_kinds(fleet, nodes, "all nodes running")
    fleet.processes["n0"].kill()
    wrong += send_all_kinds(fleet, nodes[1:], "one node killed")
    draining = fleet.processes["d0"]
    draining.signal(15)
    wrong += send_all_kinds(fleet, nodes[1:], "one service draining")
    fleet.write_configuration()
    fleet.start_node("n0")
    wait_until_ready(fleet, ["n0"])
    wrong += send_all_kinds(fleet, nodes, "node restarted")
    statuses = [fleet.processes[node].stop() for node in nodes]
    print("graceful stops ended with exit status", *statuses)
    return wrong + sum(status != 0 for status in statuses)


def main():
    with tempfile.TemporaryDirectory() as folder:
        fleet = start_fleet(pathlib.Path(folder), ROOT / "build")
        try:
            wrong = run(fleet)
        finally:
            fleet.stop_all()
    sys.exit(1 if wrong else 0)


if __name__ == "__main__":
    main()
