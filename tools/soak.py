#!/usr/bin/env python3
"""Four entry nodes and eight endpoints at half their capacity, with a random fault every 2 s."""
import argparse
import random
import signal
import sys
import tempfile
import threading
import time
import urllib.error

from cluster import Cluster, fetch, switch_faults

NODES, ENGINES, MODELS = 4, 8, 12
SLOTS, TOKENS, TOKEN_MS = 8, 30, 5
FAULT_EVERY = 2.0
# Half of what the engines can do, of requests of TOKENS tokens.
RATE = 0.5 * ENGINES * SLOTS / (TOKENS * TOKEN_MS / 1000)
UNREACHABLE_BOUND = 60.0
FAST = {"residency": {"loads_per_second": 5.0, "late_order_bound": "20s"}}


def declarations(folder):
    path = folder / "soak"
    path.mkdir()
    models = [{"name": f"model-{i}", "version": "1", "pool": "p", "memory": "3GiB"}
              for i in range(MODELS)]
    services = [{"name": "desk", "pool": "desk", "repeatable": ["GET"], "deadline": "4s"}]
    import json
    (path / "all.json").write_text(json.dumps({"models": models, "services": services}))
    return str(path)


class Watcher(threading.Thread):
    """Asks every node for its generation and every model, and keeps what must never be seen."""

    def __init__(self, cluster):
        super().__init__(daemon=True)
        self.cluster = cluster
        self.stopping = threading.Event()
        self.reversals = 0
        self.longest_unreachable = 0.0
        self.seen = {}
        self.reached = {}

    def run(self):
        while not self.stopping.wait(0.5):
            self.look()

    def look(self):
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
                    self.reversals += generation < self.seen.get(key, 0)
                    self.seen[key] = generation
                if line.startswith("rudderloom_serving_endpoints{") and not line.endswith(" 0"):
                    served.add(line.split('"')[1])
        for model in (f"model-{i}" for i in range(MODELS)):
            last = self.reached.setdefault(model, now)
            self.longest_unreachable = max(self.longest_unreachable, now - last)
            if model in served:
                self.reached[model] = now


def read_text(address, path):
    import urllib.request
    with urllib.request.urlopen(f"http://{address}{path}", timeout=1) as answer:
        return answer.read().decode()


class Chaos:
    """Draws one fault after the other from its seed."""

    def __init__(self, cluster, seed):
        self.cluster = cluster
        self.random = random.Random(seed)
        self.later = []
        self.counts = {}
        self.over_memory = 0

    def at(self, moment, what):
        self.later.append((moment, what))

    def due(self):
        now = time.monotonic()
        ready = [what for moment, what in self.later if moment <= now]
        self.later = [(moment, what) for moment, what in self.later if moment > now]
        for what in ready:
            what()

    def strike(self):
        name = self.random.choice(["kill_node", "freeze_node", "kill_engine", "cut_streams",
                                   "platform_down", "lose_answers", "lose_orders", "late_orders",
                                   "slow_engine", "freeze_engine", "silent_watch", "lag_reports"])
        self.counts[name] = self.counts.get(name, 0) + 1
        getattr(self, name)()

    def node(self):
        return f"n{self.random.randrange(NODES)}"

    def engine(self):
        return f"e{self.random.randrange(ENGINES)}"

    def kill_node(self):
        name = self.node()
        self.cluster.processes[name].kill()
        settings = self.cluster.folder / f"{name}.json"
        self.cluster._start(name, [self.cluster.daemon, "daemon", "--settings", str(settings)])

    def freeze(self, name, seconds):
        process = self.cluster.processes[name]
        process.signal(signal.SIGSTOP)
        self.at(time.monotonic() + seconds, lambda: process.signal(signal.SIGCONT))

    def freeze_node(self):
        self.freeze(self.node(), self.random.uniform(1, 9))

    def freeze_engine(self):
        self.freeze(self.engine(), self.random.uniform(1, 4))

    def kill_engine(self):
        name = self.engine()
        old = self.cluster.processes[name]
        self.note_memory(old)
        old.kill()
        # It comes back at its address with empty memory.
        self.cluster.start_endpoint(name, "p", memory="12GiB", slots=SLOTS, token_ms=TOKEN_MS,
                                    fences=name < "e4", port=int(old.address.split(":")[1]))

    def switch(self, process, seconds, **faults):
        try:
            switch_faults(process, **faults)
        except (OSError, urllib.error.URLError):
            return
        off = {key: 0 for key in faults}

        def undo():
            try:
                switch_faults(process, **off)
            except (OSError, urllib.error.URLError):
                pass
        self.at(time.monotonic() + seconds, undo)

    def cut_streams(self):
        self.switch(self.cluster.processes[self.engine()], 2, cut_after_tokens=7, cut_streams=5)

    def slow_engine(self):
        self.switch(self.cluster.processes[self.engine()], 3, slow_factor=8)

    def lag_reports(self):
        self.switch(self.cluster.processes[self.engine()], 4, load_lag_ms=2000)

    def lose_orders(self):
        self.switch(self.cluster.processes[self.engine()], 6, drop_orders=2)

    def late_orders(self):
        self.switch(self.cluster.processes[self.engine()], 12, late_orders=1, late_ms=8000)

    def platform_down(self):
        self.switch(self.cluster.processes["platform"], self.random.uniform(1, 5), refuse=1)

    def lose_answers(self):
        self.switch(self.cluster.processes["platform"], 2, lose_answer=3)

    def silent_watch(self):
        self.switch(self.cluster.processes["platform"], 4, silent_watch=1)

    def note_memory(self, process):
        try:
            stats = fetch(process.address, "/stats")
        except (OSError, urllib.error.URLError):
            return
        self.over_memory += stats["overcommits"]


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
                               fences=i < 4)
    cluster.start_service("desk1", "desk")
    nodes = [cluster.start_node(f"n{i}", f"zone-{i % 2}", FAST) for i in range(NODES)]
    # Replaced nodes keep their address, as behind a balancer that knows them.
    for node in nodes:
        address, peers = node.address.split(":")[1], node.peers.split(":")[1]
        path = cluster.folder / f"{node.name}.json"
        text = path.read_text()
        path.write_text(text[:-1] + f', "listeners": {{"callers": {{"port": {address}}}, '
                        f'"peers": {{"port": {peers}}}}}}}')
    cluster.command("apply", declarations(cluster.folder), "--daemon", nodes[0].peers, "--wait")
    cluster.wait_served(nodes[0])
    time.sleep(1)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=int, default=60)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    cluster = Cluster(tempfile.mkdtemp(prefix="rudderloom-soak-"))
    try:
        start(cluster)
        watcher = Watcher(cluster)
        watcher.start()
        chaos = Chaos(cluster, options.seed)
        load = cluster.load(scenario(cluster, options.seconds, options.seed))
        end = time.monotonic() + options.seconds
        next_fault = time.monotonic() + FAULT_EVERY
        while time.monotonic() < end:
            time.sleep(0.05)
            chaos.due()
            if time.monotonic() >= next_fault:
                next_fault += FAULT_EVERY
                chaos.strike()
        while chaos.later:
            time.sleep(0.05)
            chaos.due()
        table, _ = load.communicate(timeout=180)
        watcher.stopping.set()
        watcher.join()
        for i in range(ENGINES):
            chaos.note_memory(cluster.processes[f"e{i}"])
        return verdict(cluster, table, chaos, watcher)
    finally:
        cluster.stop_all()


def verdict(cluster, table, chaos, watcher):
    report = cluster.report()
    print(table)
    print("faults:", ", ".join(f"{name} {count}" for name, count in sorted(chaos.counts.items())))
    broken = {"swapped or doubled answers": report["foreign"],
              "answers cut as success": report["cut_as_success"],
              "second runs": report["run_twice"],
              "false `ran: no`": report["false_not_run"],
              "answered but never run": report["answered_never_run"],
              "loads beyond an endpoint's memory": chaos.over_memory,
              "configuration reversals": watcher.reversals}
    for name, count in broken.items():
        print(f"{count:6d} {name}")
    print(f"{watcher.longest_unreachable:6.1f} s longest time a model was unreachable "
          f"(bound {UNREACHABLE_BOUND:.0f} s)")
    good = sum(broken.values()) == 0 and watcher.longest_unreachable <= UNREACHABLE_BOUND
    print("soak:", "sound" if good else f"BROKEN, logs in {cluster.folder}")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
