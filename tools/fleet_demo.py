#!/usr/bin/env python3
"""The path on the users' platform: three entry nodes, engines and plain services, and failures.

usage: tools/fleet_demo.py      exit status 0 only when every answer was whole
"""
import json
import pathlib
import sys
import tempfile
import time

from cluster import ROOT
from fleet import MODELS, NODES, one_request, start_fleet, whole_stream

READY_SECONDS = 20


def ask_everything(fleet, nodes, title):
    """One request of each kind at each node; gives how many were not whole."""
    wrong = asked = 0
    for node in nodes:
        for kind, model in [("once", ""), ("safe", "")] + [("stream", m + "/a1") for m in MODELS]:
            request_id = f"{title.replace(' ', '-')}-{node}-{kind}-{model.replace('/', '-')}"
            status, body = one_request(fleet.callers(node), kind, model, request_id)
            wanted = (whole_stream(request_id, model) if model
                      else json.dumps({"id": request_id}, separators=(",", ":")))
            asked += 1
            if status != 200 or body != wanted:
                wrong += 1
                print(f"  {request_id}: status {status}")
    print(f"{title}: {asked - wrong} of {asked} answers whole")
    return wrong


def await_ready(fleet, nodes):
    until = time.monotonic() + READY_SECONDS
    for node in nodes:
        while one_request(fleet.callers(node), "stream", "m", f"ready-{node}")[0] != 200:
            if time.monotonic() > until:
                raise RuntimeError(f"{node} does not serve")
            time.sleep(0.1)


def run(fleet):
    nodes = [f"n{i}" for i in range(NODES)]
    await_ready(fleet, nodes)
    wrong = ask_everything(fleet, nodes, "all well")
    fleet.processes["n0"].kill()
    wrong += ask_everything(fleet, nodes[1:], "a node killed")
    old = fleet.processes["d0"]
    old.signal(15)
    wrong += ask_everything(fleet, nodes[1:], "a service draining")
    fleet.configure()
    fleet.start_node("n0")
    await_ready(fleet, ["n0"])
    wrong += ask_everything(fleet, nodes, "the node back")
    statuses = [fleet.processes[node].stop() for node in nodes]
    print("planned stops ended with status", *statuses)
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
