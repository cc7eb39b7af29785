#!/usr/bin/env python3
"""Soak test: four entry nodes and eight engines at half capacity, with random faults and planned stops."""
import argparse
import dataclasses
import json
import random
import signal
import sys
import tempfile
import threading
import time
import urllib.error

from cluster import Cluster, fetch_json, set_faults
from stop_callers import StopCallers

NODES, ENGINES, MODELS = 4, 8, 12
SLOTS, TOKENS, TOKEN_MS = 8, 30, 5
FAULT_INTERVAL_SECONDS = 2.0
# Half the capacity of the engines, in requests of TOKENS tokens per second.
RATE = 0.5 * ENGINES * SLOTS / (TOKENS * TOKEN_MS / 1000)
MAX_UNREACHABLE_SECONDS = 60.0
NODE_SETTINGS = {"residency": {"loads_per_second": 5.0, "late_order_bound": "20s"},
                 "stop_notice": "300ms", "stop_time": "1500ms"}
# Calls outlast this stop if their endpoint is slow or suspended.
STOP_SECONDS = 1.8
STOP_CALLERS, FULL_CALLERS = 24, 96


def write_declarations(folder):
    path = folder / "soak"
    path.mkdir()
    models = [{"name": f"model-{i}", "version": "1", "pool": "p", "memory": "3GiB"}
              for i in range(MODELS)]
    services = [{"name": "desk", "pool": "desk", "repeatable": ["GET"], "deadline": "4s"}]
    (path / "all.json").write_text(json.dumps({"models": models, "services": services}))
    return str(path)


class MetricsWatcher(threading.Thread):
    """Polls the metrics of every node for generations that go backwards and models without an endpoint."""

    def __init__(self, cluster):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.stopping = threading.Event()
        self.reversals = 0
        self.longest_unreachable = 0.0
        self.generations = {}
        self.last_served = {}

    def run(self):
        while not self.stopping.wait(0.5):
            self.poll()

    def poll(self):
        now = time.monotonic()
        served = set()
        for name in [f"n{i}" for i in range(NODES)]:
            process = self.cluster.processes[name]
            try:
                text = read_text(process.address, "/metrics")
            except (OSError, urllib.error.URLError):
                continue
            key = (name, process.child.pid)
            for line in text.splitlines():
                if line.startswith("rudderloom_generation "):
                    generation = float(line.split()[1])
                    self.reversals += generation < self.generations.get(key, 0)
                    self.generations[key] = generation
                if line.startswith("rudderloom_serving_endpoints{") and not line.endswith(" 0"):
                    served.add(line.split('"')[1])
        for model in (f"model-{i}" for i in range(MODELS)):
            last = self.last_served.setdefault(model, now)
            self.longest_unreachable = max(self.longest_unreachable, now - last)
            if model in served:
                self.last_served[model] = now


def read_text(address, path):
    import urllib.request
    with urllib.request.urlopen(f"http://{address}{path}", timeout=1) as answer:
        return answer.read().decode()


class FaultInjector:
    """Injects random faults drawn from a seed."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.random = random.Random(seed)
        self.scheduled = []
        self.counts = {}
        self.overcommits = 0
        self.stopping = set()

    def schedule(self, moment, action):
        self.scheduled.append((moment, action))

    def run_due(self):
        now = time.monotonic()
        ready = [action for moment, action in self.scheduled if moment <= now]
        self.scheduled = [(moment, action) for moment, action in self.scheduled if moment > now]
        for action in ready:
            action()

    def inject_fault(self):
        name = self.random.choice(["kill_node", "freeze_node", "kill_engine", "cut_streams",
                                   "platform_down", "lose_answers", "lose_orders", "late_orders",
                                   "slow_engine", "freeze_engine", "silent_watch", "lag_reports"])
        self.counts[name] = self.counts.get(name, 0) + 1
        getattr(self, name)()

    def node(self):
        return self.random.choice([f"n{i}" for i in range(NODES) if f"n{i}" not in self.stopping])

    def engine(self):
        return f"e{self.random.randrange(ENGINES)}"

    def kill_node(self):
        name = self.node()
        self.cluster.processes[name].kill()
        self.restart_node(name)

    def restart_node(self, name):
        settings = self.cluster.folder / f"{name}.json"
        self.cluster._start(name, [self.cluster.daemon, "daemon", "--settings", str(settings)])

    def freeze(self, name, seconds):
        process = self.cluster.processes[name]
        process.signal(signal.SIGSTOP)
        self.schedule(time.monotonic() + seconds, lambda: process.signal(signal.SIGCONT))

    def freeze_node(self):
        self.freeze(self.node(), self.random.uniform(1, 9))

    def freeze_engine(self):
        self.freeze(self.engine(), self.random.uniform(1, 4))

    def kill_engine(self):
        name = self.engine()
        old = self.cluster.processes[name]
        self.collect_overcommits(old)
        old.kill()
        # Restarts at the same address with empty memory.
        self.cluster.start_endpoint(name, "p", memory="12GiB", slots=SLOTS, token_ms=TOKEN_MS,
                                    checks_fencing=name < "e4", port=int(old.address.split(":")[1]))

    def set_temporary_faults(self, process, seconds, **faults):
        try:
            set_faults(process, **faults)
        except (OSError, urllib.error.URLError):
            return
        cleared = {key: 0 for key in faults}

        def clear():
            try:
                set_faults(process, **cleared)
            except (OSError, urllib.error.URLError):
                pass
        self.schedule(time.monotonic() + seconds, clear)

    def cut_streams(self):
        self.set_temporary_faults(self.cluster.processes[self.engine()], 2, cut_after_tokens=7, cut_streams=5)

    def slow_engine(self):
        self.set_temporary_faults(self.cluster.processes[self.engine()], 3, slow_factor=8)

    def lag_reports(self):
        self.set_temporary_faults(self.cluster.processes[self.engine()], 4, load_lag_ms=2000)

    def lose_orders(self):
        self.set_temporary_faults(self.cluster.processes[self.engine()], 6, drop_orders=2)

    def late_orders(self):
        self.set_temporary_faults(self.cluster.processes[self.engine()], 12, late_orders=1, late_ms=8000)

    def platform_down(self):
        self.set_temporary_faults(self.cluster.processes["platform"], self.random.uniform(1, 5), refuse=1)

    def lose_answers(self):
        self.set_temporary_faults(self.cluster.processes["platform"], 2, lose_answer=3)

    def silent_watch(self):
        self.set_temporary_faults(self.cluster.processes["platform"], 4, silent_watch=1)

    def collect_overcommits(self, process):
        try:
            stats = fetch_json(process.address, "/stats")
        except (OSError, urllib.error.URLError):
            return
        self.overcommits += stats["overcommits"]


class NodeStopper:
    """Stops one node at a time while callers keep calling it, in random moments drawn from a seed."""

    def __init__(self, cluster, injector, seed):
        self.cluster = cluster
        self.injector = injector
        self.seed = seed
        self.random = random.Random(f"stops {seed}")
        self.stops = []
        self.name = None
        self.next_start = time.monotonic() + self.random.uniform(0.5, 2)

    def run_due(self):
        now = time.monotonic()
        if self.name is None and now >= self.next_start:
            self.begin(now)
        elif self.name and not self.signalled and now >= self.signal_at:
            self.signalled = now
            self.process.signal(signal.SIGTERM)
        elif self.name and self.signalled and self.process.child.poll() is not None:
            self.end(now)

    def begin(self, now):
        self.name = self.injector.node()
        self.injector.stopping.add(self.name)
        self.process = self.cluster.processes[self.name]
        self.process.signal(signal.SIGCONT)
        self.trouble = self.random.choice(["none", "slow", "suspended", "full", "platform_silent"])
        callers = FULL_CALLERS if self.trouble == "full" else STOP_CALLERS
        self.callers = StopCallers(self.process.address, f"stop-{len(self.stops)}", self.seed, callers,
                                   [f"model-{i}" for i in range(MODELS)])
        self.signalled = None
        self.signal_at = now + self.random.uniform(0.3, 1)
        trouble_at = self.signal_at + self.random.uniform(-0.3, STOP_SECONDS)
        self.injector.schedule(trouble_at, self.cause_trouble)

    def cause_trouble(self):
        endpoints = [f"e{i}" for i in range(ENGINES)] + ["desk1"]
        seconds = self.random.uniform(1, 3)
        if self.trouble == "platform_silent":
            self.injector.set_temporary_faults(self.cluster.processes["platform"], seconds, hang=1)
        for name in endpoints:
            if self.trouble == "suspended":
                self.injector.freeze(name, seconds)
            elif self.trouble in ("slow", "full"):
                faults = {"delay_ms": 2000} if name == "desk1" else {"slow_factor": 16}
                self.injector.set_temporary_faults(self.cluster.processes[name], seconds, **faults)

    def end(self, now):
        self.callers.finish()
        self.stops.append({"node": self.name, "trouble": self.trouble,
                           "seconds": now - self.signalled, "status": self.process.child.returncode,
                           "calls": [dataclasses.asdict(call) for call in self.callers.calls]})
        self.injector.restart_node(self.name)
        self.injector.stopping.discard(self.name)
        self.name = None
        self.next_start = now + self.random.uniform(0.5, 2)

    def finish(self):
        """Ends the stop under way and writes all of them to a file."""
        self.next_start = float("inf")
        while self.name:
            time.sleep(0.02)
            self.injector.run_due()
            self.run_due()
        (self.cluster.folder / "stops.json").write_text(json.dumps(self.stops))

    def violations(self):
        runs = fetch_json(self.cluster.processes["desk1"].address, "/stats")["runs"]
        calls = [call for stop in self.stops for call in stop["calls"]]
        service = [call for call in calls if call["kind"].endswith(("call", "key"))]
        return {"unanswered at a stop": sum(call["outcome"] in ("unanswered", "cut") for call in calls),
                "answers to others at a stop": sum(call["foreign"] for call in calls),
                "false `ran: no` at a stop": sum(call["ran"] == "no" and runs.get(call["id"], 0) > 0
                                                 for call in service),
                "calls run more than once at a stop": sum(
                    runs.get(call["id"], 0) > 1 for call in service if call["kind"] != "repeatable call"),
                "calls answered at a stop but never run": sum(
                    call["status"] == 200 and call["outcome"] == "answered" and
                    runs.get(call["id"], 0) == 0 for call in service),
                "stops that crashed": sum(stop["status"] not in (0, 1) for stop in self.stops)}


def scenario(cluster, seconds, seed):
    chat = {"type": "completion", "tokens": TOKENS, "tries": 8, "deadline": "10s"}
    mix = [{**chat, "name": f"model-{i}", "target": f"model-{i}", "stream": i % 3 != 0,
            "weight": 8.0 / MODELS} for i in range(MODELS)]
    mix.append({"name": "desk", "type": "service", "target": "desk", "path": "/slots",
                "keyed": True, "tries": 4, "weight": 1.0, "deadline": "4s"})
    mix.append({"name": "desk without key", "type": "service", "target": "desk", "path": "/slots",
                "weight": 1.0, "deadline": "4s"})
    return {"targets": [cluster.processes[f"n{i}"].address for i in range(NODES)],
            "services": [cluster.processes["desk1"].address], "rate": RATE,
            "length": f"{seconds * 1000}ms", "seed": seed, "mix": mix}


def start(cluster):
    cluster.start_platform()
    cluster.start_weight_store(load_ms=500, per_second=4)
    for i in range(ENGINES):
        cluster.start_endpoint(f"e{i}", "p", memory="12GiB", slots=SLOTS, token_ms=TOKEN_MS,
                               checks_fencing=i < 4)
    cluster.start_service("desk1", "desk")
    nodes = [cluster.start_node(f"n{i}", f"zone-{i % 2}", NODE_SETTINGS) for i in range(NODES)]
    # Restarted nodes keep their addresses, as behind a load balancer with a fixed list of nodes.
    for node in nodes:
        address, peers = node.address.split(":")[1], node.peers.split(":")[1]
        path = cluster.folder / f"{node.name}.json"
        text = path.read_text()
        path.write_text(text[:-1] + f', "listeners": {{"callers": {{"port": {address}}}, '
                        f'"peers": {{"port": {peers}}}}}}}')
    cluster.command("apply", write_declarations(cluster.folder), "--daemon", nodes[0].peers, "--wait")
    cluster.wait_until_resident(nodes[0])
    time.sleep(1)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    cluster = Cluster(tempfile.mkdtemp(prefix="rudderloom-soak-"))
    try:
        start(cluster)
        watcher = MetricsWatcher(cluster)
        watcher.start()
        injector = FaultInjector(cluster, options.seed)
        stopper = NodeStopper(cluster, injector, options.seed)
        load = cluster.start_load(scenario(cluster, options.seconds, options.seed))
        end = time.monotonic() + options.seconds
        next_fault = time.monotonic() + FAULT_INTERVAL_SECONDS
        while time.monotonic() < end:
            time.sleep(0.05)
            injector.run_due()
            stopper.run_due()
            if time.monotonic() >= next_fault:
                next_fault += FAULT_INTERVAL_SECONDS
                injector.inject_fault()
        stopper.finish()
        while injector.scheduled:
            time.sleep(0.05)
            injector.run_due()
        table, _ = load.communicate(timeout=180)
        watcher.stopping.set()
        watcher.join()
        for i in range(ENGINES):
            injector.collect_overcommits(cluster.processes[f"e{i}"])
        return print_verdict(cluster, table, injector, watcher, stopper)
    finally:
        cluster.stop_all()


def print_verdict(cluster, table, injector, watcher, stopper):
    report = cluster.load_report()
    print(table)
    print("faults:", ", ".join(f"{name} {count}" for name, count in sorted(injector.counts.items())))
    print("stops:", ", ".join(f"{stop['node']} {stop['trouble']}" for stop in stopper.stops))
    violations = {"mismatched or duplicated answers": report["foreign"],
                  "truncated answers reported as success": report["cut_as_success"],
                  "calls run more than once": report["run_twice"],
                  "false `ran: no`": report["false_not_run"],
                  "calls answered but never run": report["answered_never_run"],
                  "load orders beyond an endpoint's memory": injector.overcommits,
                  "configuration generations going backwards": watcher.reversals,
                  **stopper.violations()}
    for name, count in violations.items():
        print(f"{count:6d} {name}")
    print(f"{watcher.longest_unreachable:6.1f} s longest time without an endpoint for a model "
          f"(bound {MAX_UNREACHABLE_SECONDS:.0f} s)")
    passed = sum(violations.values()) == 0 and watcher.longest_unreachable <= MAX_UNREACHABLE_SECONDS
    print("soak:", "passed" if passed else f"BROKEN, logs in {cluster.folder}")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
