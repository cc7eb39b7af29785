#!/usr/bin/env python3
"""Entry nodes on the users' platform under random faults; checks the promises of our pages.

Real programs as separate processes. Every node reaches the store, and everybody each endpoint,
through a loopback proxy that delays, resets, silences or cuts one way; processes are killed, frozen,
drained, stopped and reloaded by signals. The stand-ins lose answers, cut streams and carry orders
out late. Clients keep their connections until the process is gone.

usage: tools/fleet_soak.py [--seconds 20] [--seed 1] [--folder DIRECTORY]
Exit status 0 when no promise was broken; the folder with all logs is kept otherwise.
"""
import argparse
import http.client
import json
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

from cluster import Process, ROOT
from loopback_proxy import LoopbackProxy

NODES, ENGINES, DESKS, CLIENTS = 3, 4, 3, 12
MODELS = ("m", "n", "o", "p")
EVENTS = 8
FAULT_EVERY = (0.2, 1.2)
RECOVERY_SECONDS = 20
STOP_SECONDS = 8
# A request that was under way when its node was killed, as the client's clock sees it.
KILL_SLACK = 0.3


def call(address, path, body=None, method=None, timeout=2):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


def whole_stream(request_id, model):
    return "".join(f"id: {i}\ndata: {request_id} {model} {i}\n\n" for i in range(1, EVENTS + 1))


class Fleet:
    """The processes and their proxies."""

    def __init__(self, folder, build):
        self.folder = folder
        self.daemon = str(build / "src/rudderloom/app/rudderloom")
        self.standin = str(build / "platform/rudderloom_platform_standin")
        self.processes = {}
        self.proxies = {}
        self.runs = {}      # request id: times it ran, on processes that are gone
        self.starts = 0
        self.version = 0
        self.start("store", [self.standin, "store"])

    def start(self, name, command):
        self.starts += 1
        process = Process(f"{name}-{self.starts}", command, self.folder)
        self.processes[name] = process
        return process

    def start_endpoint(self, name, service, more):
        proxy = LoopbackProxy()
        instance = f"{name}-{self.starts}"
        process = self.start(name, [self.standin, "engine" if service == "pool" else "service",
                                    "--store", self.processes["store"].address, "--instance",
                                    instance, "--service", service, "--advertise", proxy.address,
                                    *more])
        proxy.target = process.address
        self.proxies[name] = proxy

    def start_engine(self, name):
        models = ",".join(random.Random(name).sample(MODELS, 2))
        self.start_endpoint(name, "pool", ["--models", models, "--memory-mb", "300"])

    def start_desk(self, name):
        self.start_endpoint(name, "desk", ["--slots", "16"])

    def start_node(self, name):
        if name not in self.proxies:
            self.proxies[name] = LoopbackProxy()
            self.proxies[name].target = self.processes["store"].address
        loopback = "127.0.0.1:0"
        settings = {
            "interface": "fleet",
            "node": {"name": name, "availability_zone": "zone-a"},
            "listen": {"callers": loopback, "readiness": loopback, "peers": loopback,
                       "metrics": loopback},
            "store": {"address": self.proxies[name].address, "call_time": "500ms"},
            "bounds": {"lease": "900ms", "grace": f"{STOP_SECONDS}s"},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.start(name, [self.daemon, "daemon", "--settings", str(path)])

    def configure(self):
        self.version += 1
        route = {"host": "h.example", "timeout-ms": 5000, "latency-goal-ms": 500, "priority": 1,
                 "max-attempts": 2, "is-sticky": False, "target-gap-ms": 400}
        kinds = {"/stream/": ("stream", "pool"), "/once/": ("unsafe", "desk"),
                 "/safe/": ("safe", "desk")}
        if self.version > 1:
            kinds["/added/"] = ("safe", "desk")
        routes = [{**route, "name": "r" + prefix, "path-prefix": prefix, "route-kind": kind,
                   "service": service, "resumable": kind == "stream"}
                  for prefix, (kind, service) in kinds.items()]
        models = [{"name": name, "weights-mb": 90.0, "load-time-s": 0.3, "disk-load-s": 0.1,
                   "adapters": 2, "adapter-size-mb": 1.0} for name in MODELS]
        engine = {"slots": 8, "kv-capacity": 100000, "weights-mb": 300.0, "adapter-slots": 4,
                  "loads-per-s": 10.0, "models": models}
        spec = {"version": self.version, "routes": routes, "limits": {},
                "services": [{"name": "pool", "max-conns": 100, "engine": engine},
                             {"name": "desk", "max-conns": 100}]}
        body = {"metadata": {"name": "main"}, "spec": spec}
        store = self.processes["store"].address
        if self.version == 1:
            call(store, "/objects/config", body, "POST")
        else:
            call(store, "/objects/config/main", body, "PUT")

    def count_runs(self, name):
        """What an endpoint has run, before it is killed."""
        try:
            runs = json.loads(call(self.processes[name].address, "/stats"))["runs"]
        except (OSError, urllib.error.URLError, ValueError):
            return
        for request_id, count in runs.items():
            self.runs[request_id] = self.runs.get(request_id, 0) + count

    def all_runs(self):
        for name in list(self.proxies):
            if name[0] in "ed":
                self.count_runs(name)
        return self.runs


class Client(threading.Thread):
    """One client that keeps its connection until the node is gone or closes it."""

    def __init__(self, fleet, number, seed):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.number = number
        self.random = random.Random(f"{seed}-{number}")
        self.stopping = threading.Event()
        self.results = []
        self.connection = None
        self.node = None

    def run(self):
        count = 0
        while not self.stopping.wait(self.random.uniform(0.1, 0.35)):
            self.one(f"c{self.number}-{count}")
            count += 1

    def connect(self):
        self.node = f"n{self.random.randrange(NODES)}"
        self.process = self.fleet.processes[self.node]
        host, port = self.process.words[0].split("=")[1].split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=12)

    def one(self, request_id):
        kind = self.random.choice(["once", "safe", "stream", "stream", "added"])
        headers = {"Host": "h.example", "Request-Id": request_id, "Deadline-Ms": "5000"}
        model = ""
        if kind == "stream":
            model = self.random.choice(MODELS) + self.random.choice(["", "/a1", "/a2"])
            headers.update({"Model": model, "Token-Count": "10,40", "Prompt-Prefix": "ab:6,cd:4"})
        result = {"id": request_id, "kind": kind, "model": model, "status": 0, "body": "",
                  "whole": False}
        try:
            if self.connection is None:
                self.connect()
            result.update(node=self.node, life=self.process.name)
            result["at"] = time.monotonic()
            self.connection.request("POST", f"/{kind}/x", body=b"body", headers=headers)
            answer = self.connection.getresponse()
            result["status"] = answer.status
            result["body"] = answer.read().decode()
            result["whole"] = True
            if answer.getheader("Connection", "").lower() == "close":
                self.forget()
        except (OSError, http.client.HTTPException) as error:
            result["error"] = repr(error)
            self.forget()
        result["ended"] = time.monotonic()
        self.results.append(result)

    def forget(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class Chaos:
    """Draws one fault after the other from its seed; they overlap."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.later = []
        self.counts = {}
        self.killed = {}     # life of a process: when
        self.problems = []
        self.stops = []

    def at(self, seconds, what):
        self.later.append((time.monotonic() + seconds, what))

    def due(self, everything=False):
        now = time.monotonic()
        ready = [what for moment, what in self.later if everything or moment <= now]
        self.later = [] if everything else [(m, w) for m, w in self.later if m > now]
        for what in ready:
            what()

    def strike(self):
        faults = ["kill_node", "freeze_node", "stop_node", "reload_node", "kill_engine",
                  "drain_endpoint", "freeze_endpoint", "stand_in", "store_fault", "cut_store",
                  "cut_endpoint", "reset_endpoint", "configure"]
        name = self.random.choice(faults)
        self.counts[name] = self.counts.get(name, 0) + 1
        self.fleet.log.write(f"{time.time():.3f} {name}\n")
        getattr(self, name)()

    def pick(self, letter, count):
        return f"{letter}{self.random.randrange(count)}"

    def endpoint(self):
        return self.pick(*self.random.choice([("e", ENGINES), ("d", DESKS)]))

    def kill(self, name):
        process = self.fleet.processes[name]
        self.killed[process.name] = time.monotonic()
        process.kill()

    def kill_node(self):
        name = self.pick("n", NODES)
        self.kill(name)
        self.fleet.start_node(name)

    def freeze(self, name, seconds):
        process = self.fleet.processes[name]
        process.signal(signal.SIGSTOP)
        self.at(seconds, lambda: process.signal(signal.SIGCONT))

    def freeze_node(self):
        self.freeze(self.pick("n", NODES), self.random.uniform(0.5, 3))

    def freeze_endpoint(self):
        self.freeze(self.endpoint(), self.random.uniform(0.3, 2))

    def stop_node(self):
        name = self.pick("n", NODES)
        process = self.fleet.processes[name]
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGTERM)
        self.stops.append((process, time.monotonic()))
        self.fleet.start_node(name)

    def reload_node(self):
        self.fleet.processes[self.pick("n", NODES)].signal(signal.SIGHUP)

    def restart(self, name):
        if name[0] == "e":
            self.fleet.start_engine(name)
        else:
            self.fleet.start_desk(name)

    def kill_engine(self):
        name = self.pick("e", ENGINES)
        self.fleet.count_runs(name)
        self.kill(name)
        self.fleet.proxies[name].close()
        self.restart(name)

    def drain_endpoint(self):
        name = self.endpoint()
        process = self.fleet.processes[name]
        self.fleet.processes[f"{name}-old-{self.fleet.starts}"] = process
        self.fleet.proxies[f"{name}-old-{self.fleet.starts}"] = self.fleet.proxies[name]
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGTERM)
        self.restart(name)

    def switch(self, name, seconds, **faults):
        process = self.fleet.processes[name]

        def put(values):
            try:
                call(process.address, "/faults", values)
            except (OSError, urllib.error.URLError):
                pass
        put(faults)
        self.at(seconds, lambda: put({key: 0 for key in faults}))

    def stand_in(self):
        engine = self.pick("e", ENGINES)
        desk = self.pick("d", DESKS)
        self.random.choice([
            lambda: self.switch(engine, 3, late_orders=2),
            lambda: self.switch(engine, 3, cut_streams=3),
            lambda: self.switch(desk, 3, lose_answers=3),
            lambda: self.switch(desk, 3, shed=4)])()

    def store_fault(self):
        faults = self.random.choice([{"down": 1}, {"delay_ms": 200}, {"lose_answers": 3},
                                     {"forget_history": 1}])
        self.switch("store", self.random.uniform(0.5, 4), **faults)

    def cut(self, name, seconds):
        proxy = self.fleet.proxies[name]
        proxy.delay = self.random.uniform(0.02, 0.2)
        proxy.mode = self.random.choice(["delay", "silent", "one_way"])

        def heal():
            proxy.mode = "pass"
        self.at(seconds, heal)

    def cut_store(self):
        self.cut(self.pick("n", NODES), self.random.uniform(0.5, 4))

    def cut_endpoint(self):
        self.cut(self.endpoint(), self.random.uniform(0.3, 2))

    def reset_endpoint(self):
        self.fleet.proxies[self.endpoint()].reset_all()

    def configure(self):
        try:
            self.fleet.configure()
        except (OSError, urllib.error.URLError):
            self.fleet.version -= 1

    def check_stops(self):
        for process, asked_at in self.stops:
            left = max(0.1, asked_at + STOP_SECONDS + 2 - time.monotonic())
            try:
                status = process.child.wait(timeout=left)
            except Exception:  # subprocess.TimeoutExpired
                self.problems.append(f"{process.name} did not stop")
                process.kill()
                continue
            if status != 0:
                self.problems.append(f"{process.name} stopped with status {status}")


def judge(fleet, chaos, clients):
    """Broken promises, each as a line."""
    problems = list(chaos.problems)
    runs = fleet.all_runs()
    configured = {}
    results = sorted((r for client in clients for r in client.results), key=lambda r: r["ended"])
    for r in results:
        ran = runs.get(r["id"], 0)
        if r["kind"] == "once" and ran > 1:
            problems.append(f"TWICE {r['id']} ran {ran} times")
        if r["kind"] == "once" and r["status"] in (408, 421, 429, 503) and ran > 0:
            problems.append(f"REFUSED {r['id']} with {r['status']}, but it ran")
        if r["status"] == 200 and r["whole"]:
            wanted = (whole_stream(r["id"], r["model"]) if r["kind"] == "stream"
                      else json.dumps({"id": r["id"]}, separators=(",", ":")))
            if r["body"] != wanted:
                problems.append(f"MIXED {r['id']}: {r['body'][:80]!r}")
        if r["status"] == 404:
            seen = configured.get(r.get("life"))
            if r["kind"] != "added" or (seen is not None and seen < r["at"]):
                problems.append(f"CONFIG {r['id']} refused with 404 by {r.get('life')}")
        elif r["kind"] == "added" and r["status"] == 200:
            configured.setdefault(r["life"], r["ended"])
        killed = chaos.killed.get(r.get("life"))
        excused = killed is not None and r["ended"] >= killed - KILL_SLACK
        if r["status"] == 0 and ran > 0 and not excused:
            problems.append(f"LOST {r['id']} ran, but {r.get('life')} gave no answer: {r['error']}")
    return problems, results


def recover(fleet):
    """All faults are over: every node must serve everything again."""
    until = time.monotonic() + RECOVERY_SECONDS
    missing = {(f"n{i}", kind, model) for i in range(NODES)
               for kind, model in [("once", ""), ("safe", "")] + [("stream", m) for m in MODELS]}
    count = 0
    while missing and time.monotonic() < until:
        for node, kind, model in sorted(missing):
            count += 1
            address = fleet.processes[node].words[0].split("=")[1]
            request = urllib.request.Request(f"http://{address}/{kind}/x", data=b"body", headers={
                "Host": "h.example", "Request-Id": f"after-{count}", "Deadline-Ms": "3000"})
            if model:
                request.add_header("Model", model)
                request.add_header("Token-Count", "10,40")
                request.add_header("Prompt-Prefix", "ab:6,cd:4")
            try:
                with urllib.request.urlopen(request, timeout=4) as answer:
                    answer.read()
                    missing.discard((node, kind, model))
            except (OSError, http.client.HTTPException):
                pass
    return [f"RECOVER {node} does not serve {kind} {model}" for node, kind, model in missing]


def soak(folder, build, seconds, seed):
    fleet = Fleet(folder, build)
    fleet.log = open(folder / "faults.log", "w", buffering=1)
    fleet.configure()
    for i in range(ENGINES):
        fleet.start_engine(f"e{i}")
    for i in range(DESKS):
        fleet.start_desk(f"d{i}")
    for i in range(NODES):
        fleet.start_node(f"n{i}")
    chaos = Chaos(fleet, seed)
    try:
        problems = recover(fleet)
        clients = [Client(fleet, i, seed) for i in range(CLIENTS)]
        for client in clients:
            client.start()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(chaos.random.uniform(*FAULT_EVERY))
            chaos.due()
            chaos.strike()
        chaos.due(everything=True)
        for client in clients:
            client.stopping.set()
        for client in clients:
            client.join(timeout=15)
        problems += recover(fleet)
        chaos.check_stops()
        for i in range(NODES):
            status = fleet.processes[f"n{i}"].child.poll()
            if status is not None:
                problems.append(f"n{i} ended by itself with status {status}")
        broken, results = judge(fleet, chaos, clients)
        return problems + broken, results, chaos.counts
    finally:
        for process in fleet.processes.values():
            process.kill()
        fleet.log.close()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--build", default="build")
    parser.add_argument("--folder")
    options = parser.parse_args()
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="rudderloom-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    problems, results, counts = soak(folder, ROOT / options.build, options.seconds, options.seed)
    outcomes = {}
    for r in results:
        key = str(r["status"] or "no answer")
        outcomes[key] = outcomes.get(key, 0) + 1
    print(f"seed {options.seed}: {len(results)} requests {outcomes}, faults {counts}")
    for problem in problems:
        print("BROKEN", problem)
    if problems:
        print("logs:", folder)
        sys.exit(1)
    if not options.folder:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
