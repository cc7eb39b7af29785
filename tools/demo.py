#!/usr/bin/env python3
"""End-to-end demo: three entry nodes, three engines and plain services, with failures under load."""
import sys
import tempfile
import time

from cluster import Cluster

NODE_SETTINGS = {"residency": {"loads_per_second": 10.0}}


def mix():
    chat = {"type": "chat", "stream": True, "tries": 5}
    call = {"type": "service", "keyed": True, "tries": 5, "deadline": "3s"}
    # No service calls around the moment at which an entry node is killed: calls in progress there
    # are reported with an unknown outcome, which does not count as a complete answer.
    before_kill, after_kill = {"until": "3500ms"}, {"from": "4800ms"}
    return [
        {**chat, "name": "pilot-question", "target": "slot-answers", "kind": "pilot-question",
         "weight": 4, "caller": "pilots", "deadline": "5s"},
        {**chat, "name": "berth-plan-draft", "target": "berth-writer-kochi", "tokens": 60,
         "kind": "berth-plan-draft", "weight": 2, "caller": "agents", "deadline": "30s"},
        {**chat, "name": "manifest-summary", "target": "manifest-summary", "stream": False,
         "kind": "amendment-note", "weight": 1, "caller": "clerks", "deadline": "60s"},
        {**chat, "name": "digest", "target": "triage-digest-shop-a", "type": "completion",
         "kind": "digest", "weight": 1, "caller": "shop-a", "deadline": "60s"},
        {**chat, "name": "root-cause-note", "target": "root-cause", "tokens": 40,
         "kind": "root-cause-note", "weight": 1, "caller": "shop-b", "deadline": "60s"},
        {**call, **before_kill, "name": "slot-confirmation", "target": "slot-desk", "path": "/slots",
         "kind": "slot-confirmation", "weight": 2, "caller": "agents"},
        {**call, **after_kill, "name": "slot-confirmation (2)", "target": "slot-desk", "path": "/slots",
         "kind": "slot-confirmation", "weight": 2, "caller": "agents"},
        {**call, **before_kill, "name": "ingest", "target": "intake", "path": "/events",
         "kind": "ingest", "weight": 3, "caller": "shop-a"},
        {**call, **after_kill, "name": "ingest (2)", "target": "intake", "path": "/events",
         "kind": "ingest", "weight": 3, "caller": "shop-b"},
    ]


def start(cluster):
    cluster.start_platform()
    cluster.start_weight_store(load_ms=300, per_second=10)
    for i, zone in enumerate(["kochi-hall", "vizh-hall", "tvm-hall"], 1):
        cluster.start_endpoint(f"engine-{i}", "plan-writers", zone, checks_fencing=i == 1)
    cluster.start_service("slot-desk-1", "slot-desk", "kochi-hall")
    cluster.start_service("intake-1", "intake", "vizh-hall")
    return [cluster.start_node(f"entry-{i}", zone, NODE_SETTINGS)
            for i, zone in enumerate(["kochi-hall", "vizh-hall", "tvm-hall"], 1)]


def run(cluster):
    nodes = start(cluster)
    first = nodes[0]
    for example in ("port-board", "fault-commons"):
        print(f"apply {example}:", cluster.command(
            "apply", f"examples/{example}", "--daemon", first.peers, "--wait").replace("\n", "; "))
    cluster.wait_until_resident(first)
    print(cluster.command("status", "--daemon", first.peers))
    services = [cluster.processes[name].address for name in ("slot-desk-1", "intake-1")]
    load = cluster.start_load({"targets": [node.address for node in nodes], "services": services,
                               "rate": 40, "length": "10s", "seed": 7, "mix": mix()}, all_whole=True)
    time.sleep(4)
    print("kill entry-3 and engine-3")
    nodes[2].kill()
    cluster.processes["engine-3"].kill()
    time.sleep(3)
    print("drain engine-2:", cluster.command(
        "drain", "engine-2", "--daemon", first.peers, "--wait").replace("\n", "; "))
    table, _ = load.communicate(timeout=60)
    print(table)
    print("stop entry-1 and entry-2: exit statuses", [node.stop() for node in nodes[:2]])
    return load.returncode


def main():
    keep = "--keep" in sys.argv
    folder = tempfile.mkdtemp(prefix="rudderloom-demo-")
    cluster = Cluster(folder)
    try:
        if keep:
            nodes = start(cluster)
            for example in ("port-board", "fault-commons"):
                cluster.command("apply", f"examples/{example}", "--daemon", nodes[0].peers, "--wait")
            cluster.wait_until_resident(nodes[0])
            for name, process in cluster.processes.items():
                print(f"{name:14}", *process.ready_fields)
            print("logs in", folder, "- press Ctrl-C to end")
            while True:
                time.sleep(1)
        status = run(cluster)
        print("demo:", "every answer was complete" if status == 0 else f"FAILED, logs in {folder}")
        return status
    except KeyboardInterrupt:
        return 0
    finally:
        cluster.stop_all()


if __name__ == "__main__":
    sys.exit(main())
