#!/usr/bin/env python3
"""Entry nodes on the users' platform under random faults; checks the promises of our pages.

Real programs as separate processes. Every node reaches the store, and everybody each endpoint,
through a loopback proxy that delays, resets, silences, cuts one way or lets open connections fall
silent for good; processes are killed, frozen, drained, stopped and reloaded by signals. The stand-ins lose answers, cut streams and carry orders
out late. Clients keep their connections until the process is gone.

usage: tools/fleet_soak.py [--seconds 20] [--seed 1] [--folder DIRECTORY]
           [--other-daemon PROGRAM [--back]]   two builds side by side
Exit status 0 when no promise was broken; the folder with all logs is kept otherwise.
"""
import argparse
import concurrent.futures
import json
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error

from cluster import ROOT
from fleet import (CRASH_BODY, DESKS, ENGINES, MODELS, NODES, STOP_SECONDS, UNKNOWN_KEY, Client, call,
                   one_request, start_fleet, whole_stream)

CLIENTS = 12
FAULT_EVERY = (0.2, 1.2)
RESTORE_EVERY = (2, 9)
LIMIT_EVERY = (2, 6)
LIMIT_SECONDS = (5, 10)
LIMITS = (300, 1000, 3000, 10000)  # requests in a thousand seconds, over all nodes
# What an endpoint with a limit bears in any window from nodes that have passed its announcement on half a
# second before, and whose machines were undisturbed for as long as a node may take to be in touch again.
LIMIT_WINDOW = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_EXTRA = 5
LIMIT_PASSED_ON = 0.5
IN_TOUCH_SECONDS = 3.0
# Of the nodes that are replaced.
KILLED_SHARE = 0.4
RECOVERY_SECONDS = 20
# The bound of the nodes' settings is 3 s; a call on a silent connection costs half a second more.
IN_FORCE_SECONDS = 5
# A request that was under way when its node was killed, as the client's clock sees it.
KILL_SLACK = 0.3
# A request that ends the endpoints that run it: how often it comes, when all nodes must know that three
# have ended, and how often nodes in touch may send it on after that.
CRASH_EVERY = 0.25
CRASH_KNOWN_SECONDS = 3
CRASH_MOST_LATER = 3
CRASH_BACK_SECONDS = 1.0


class Chaos:
    """Draws one fault after the other from its seed; they overlap."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        # Drawn apart, so that a seed's other faults stay what they were.
        self.restores = random.Random(f"{seed}-restores")
        self.restoring = True
        self.next_restore = time.monotonic() + self.restores.uniform(*RESTORE_EVERY)
        self.limits = random.Random(f"{seed}-limits")
        self.limiting = True
        self.next_limit = time.monotonic() + self.limits.uniform(*LIMIT_EVERY)
        self.limited = {}      # process that has a limit: its value
        self.limit_runs = []   # what processes with limits got: limit and arrivals
        self.disturbances = []  # node, since when, until when; by the wall clock
        self.later = []
        self.counts = {}
        self.killed = {}     # life of a process: when
        self.problems = []
        self.stops = []
        self.odd = 0
        self.disturbed = {}  # node: until when; None: all of them

    def at(self, seconds, what):
        self.later.append((time.monotonic() + seconds, what))

    def due(self, everything=False):
        now = time.monotonic()
        ready = [what for moment, what in self.later if everything or moment <= now]
        self.later = [] if everything else [(m, w) for m, w in self.later if m > now]
        for what in ready:
            what()
        if self.restoring and not everything and now >= self.next_restore:
            self.next_restore = now + self.restores.uniform(*RESTORE_EVERY)
            self.restore_store()
        if self.limiting and not everything and now >= self.next_limit:
            self.next_limit = now + self.limits.uniform(*LIMIT_EVERY)
            self.limit_endpoint()

    def strike(self):
        faults = ["kill_node", "freeze_node", "stop_node", "reload_node", "kill_engine",
                  "drain_endpoint", "freeze_endpoint", "stand_in", "store_fault", "cut_store",
                  "cut_endpoint", "reset_endpoint", "hush_store", "hush_endpoint", "configure",
                  "reborn_engine", "odd_entry"]
        name = self.random.choice(faults)
        self.counts[name] = self.counts.get(name, 0) + 1
        self.fleet.log.write(f"{time.time():.3f} {name}\n")
        getattr(self, name)()

    def disturb(self, node, seconds=0.0):
        """Something happens to a node, or for None to what all of them share, for so long."""
        until = time.monotonic() + seconds
        self.disturbances.append((node, time.time(), time.time() + seconds))
        self.disturbed[node] = max(until, self.disturbed.get(node, 0.0))

    def in_touch(self, node):
        """Nothing has happened to it for as long as it may take to know."""
        last = max(self.disturbed.get(node, 0.0), self.disturbed.get(None, 0.0))
        return time.monotonic() - last > CRASH_KNOWN_SECONDS

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
        self.disturb(name)
        self.kill(name)
        self.fleet.start_node(name)

    def freeze(self, name, seconds):
        process = self.fleet.processes[name]
        process.signal(signal.SIGSTOP)
        self.at(seconds, lambda: process.signal(signal.SIGCONT))

    def freeze_node(self):
        name, seconds = self.pick("n", NODES), self.random.uniform(0.5, 3)
        self.disturb(name, seconds)
        self.freeze(name, seconds)

    def freeze_endpoint(self):
        self.freeze(self.endpoint(), self.random.uniform(0.3, 2))

    def stop_node(self):
        name = self.pick("n", NODES)
        self.disturb(name)
        process = self.fleet.processes[name]
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGTERM)
        self.stops.append((process, time.monotonic()))
        self.fleet.start_node(name)

    def replace_node(self, name, by_force):
        """From now on the node runs the other build."""
        self.fleet.daemons[name] = self.fleet.next_daemon
        self.fleet.log.write(f"{time.time():.3f} replace {name} by_force={by_force}\n")
        self.counts["replace"] = self.counts.get("replace", 0) + 1
        self.disturb(name)
        process = self.fleet.processes[name]
        if by_force:
            self.kill(name)
        else:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
            self.stops.append((process, time.monotonic()))
        self.fleet.start_node(name)

    def reload_node(self):
        self.fleet.processes[self.pick("n", NODES)].signal(signal.SIGHUP)

    def restart(self, name, instance=None):
        if name[0] == "e":
            self.fleet.start_engine(name, instance)
        else:
            self.fleet.start_desk(name, instance)

    def start_ended(self):
        """Endpoints that a request has ended start again under their name, a while later."""
        for name in [f"e{i}" for i in range(ENGINES)] + [f"d{i}" for i in range(DESKS)]:
            process = self.fleet.processes[name]
            if process.child.poll() is not None and process.name not in self.killed:
                self.killed[process.name] = time.monotonic()
                self.fleet.proxies[name].close()
                self.at(CRASH_BACK_SECONDS,
                        lambda name=name: self.restart(name, self.fleet.instances[name]))

    def kill_engine(self):
        name = self.pick("e", ENGINES)
        self.fleet.count_runs(name)
        self.kill(name)
        self.fleet.proxies[name].close()
        self.restart(name)

    def reborn_engine(self):
        """Starts again under its name; its entry may not have gone meanwhile."""
        name = self.pick("e", ENGINES)
        self.fleet.count_runs(name)
        self.kill(name)
        self.fleet.proxies[name].close()
        self.fleet.start_engine(name, self.fleet.instances[name])

    def odd_entry(self):
        """Another writer leaves something in the list of endpoints."""
        self.odd += 1
        good = {"service": "pool", "address": "127.0.0.1:1", "zone": "zone-a", "version": "v1",
                "slots": 8, "state": "ready", "cold-left-ms": 0, "sequence": 0, "models": []}
        odd = self.random.choice([{}, 7, "bytes \ud800", {**good, "slots": -1},
                                  {**good, "state": "asleep"}, {**good, "sequence": 0.5},
                                  {**good, "address": None}, {**good, "models": {"m": 1}}])
        body = {"metadata": {"name": f"odd &?#{self.odd}"}, "spec": odd}
        try:
            call(self.fleet.processes["store"].address, "/objects/servers", body, "POST")
        except (OSError, urllib.error.URLError):
            pass

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
        seconds = self.random.uniform(0.5, 4)
        self.disturb(None, seconds)
        self.switch("store", seconds, **faults)

    def restore_store(self):
        """The store is away for a moment and comes back as it was some seconds before."""
        age, away = self.restores.uniform(0.1, 8), self.restores.uniform(0, 1.5)
        self.counts["restore_store"] = self.counts.get("restore_store", 0) + 1
        self.fleet.log.write(f"{time.time():.3f} restore_store {age:.1f} {away:.1f}\n")
        self.disturb(None, away + 2)
        if away > 0.3:
            self.switch("store", away, down=1)

        def restore():
            try:
                call(self.fleet.processes["store"].address, "/faults",
                     {"restore_ms": int(1000 * (age + away))})
            except (OSError, urllib.error.URLError):
                pass
        self.at(max(0, away - 0.1), restore)

    def limit_endpoint(self):
        """An endpoint announces a limit for a while."""
        name = self.limits.choice([f"e{i}" for i in range(ENGINES)] + [f"d{i}" for i in range(DESKS)])
        process = self.fleet.processes[name]
        if process.name in self.limited:
            return
        limit = self.limits.choice(LIMITS)
        self.counts["limit_endpoint"] = self.counts.get("limit_endpoint", 0) + 1
        self.fleet.log.write(f"{time.time():.3f} limit_endpoint {process.name} {limit}\n")
        self.limited[process.name] = limit

        def announce(value):
            try:
                if not value:
                    stats = json.loads(call(process.address, "/stats"))
                    self.limit_runs.append((process.name, limit, stats["limited_arrivals"]))
                call(process.address, "/faults", {"limit": value})
            except (OSError, ValueError):
                pass

        def end():
            announce(0)
            self.limited.pop(process.name, None)
        announce(limit)
        self.at(self.limits.uniform(*LIMIT_SECONDS), end)

    def was_in_touch(self, node, moment):
        """Nothing had happened to the node itself for as long as that counts."""
        return not any(name == node and since <= moment and moment - until < IN_TOUCH_SECONDS
                       for name, since, until in self.disturbances)

    def cut(self, name, seconds):
        proxy = self.fleet.proxies[name]
        proxy.delay = self.random.uniform(0.02, 0.2)
        proxy.mode = self.random.choice(["delay", "silent", "one_way"])

        def heal():
            proxy.mode = "pass"
        self.at(seconds, heal)

    def cut_store(self):
        name, seconds = self.pick("n", NODES), self.random.uniform(0.5, 4)
        self.disturb(name, seconds)
        self.cut(name, seconds)

    def cut_endpoint(self):
        self.cut(self.endpoint(), self.random.uniform(0.3, 2))

    def reset_endpoint(self):
        self.fleet.proxies[self.endpoint()].reset_all()

    def hush_store(self):
        name = self.pick("n", NODES)
        self.disturb(name)
        self.fleet.proxies[name].hush_open()

    def hush_endpoint(self):
        self.fleet.proxies[self.endpoint()].hush_open()

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
            except subprocess.TimeoutExpired:
                self.problems.append(f"{process.name} ({process.command[0]}) did not stop")
                process.kill()
                continue
            if status != 0:
                self.problems.append(f"{process.name} ({process.command[0]}) stopped with status {status}")


class Crasher(threading.Thread):
    """Sends a request that ends the endpoints that run it, to one node after the other."""

    def __init__(self, fleet, chaos, seed):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.chaos = chaos
        self.random = random.Random(f"{seed}-crasher")
        self.stopping = threading.Event()
        self.sent_on = []  # when a node in touch did so
        self.held_back = 0

    def run(self):
        count = 0
        while not self.stopping.wait(CRASH_EVERY):
            node = f"n{self.random.randrange(NODES)}"
            in_touch = self.chaos.in_touch(node)
            count += 1
            status, body = one_request(self.fleet.callers(node), "safe", "", f"crash-{count}",
                                       body=CRASH_BODY)
            if "quarantined" in body:
                self.held_back += 1
            elif status == 502 and in_touch and self.chaos.in_touch(node):
                self.sent_on.append(time.monotonic())

    def problems(self):
        if len(self.sent_on) < 3:
            return []
        later = [at for at in self.sent_on if at - self.sent_on[2] > CRASH_KNOWN_SECONDS]
        if len(later) <= CRASH_MOST_LATER:
            return []
        return [f"CRASHES a request that ends endpoints was sent on {len(later)} times"]


def most_within(moments, window):
    """The most of these moments within any such window."""
    moments = sorted(moments)
    first = most = 0
    for last, moment in enumerate(moments):
        while moment - moments[first] > window:
            first += 1
        most = max(most, last - first + 1)
    return most


def check_limits(chaos, results):
    """What endpoints with limits got from nodes in touch that had passed the announcement on."""
    sent_by = {r["id"]: (r["node"], r["life"]) for r in results if "life" in r}
    passed_on = {}  # life of a node, life of an endpoint: when first
    for r in results:
        if "limited" in r:
            key = (r["life"], r["limited"])
            passed_on[key] = min(r["ended_wall"], passed_on.get(key, r["ended_wall"]))
    problems = []
    for name, limit, arrivals in chaos.limit_runs:
        moments = []
        for milliseconds, request_id in arrivals:
            moment = milliseconds / 1000
            node, life = sent_by.get(request_id, (None, None))
            told = passed_on.get((life, chaos.fleet.instance_of.get(name)))
            if told is not None and moment >= told + LIMIT_PASSED_ON and chaos.was_in_touch(node, moment):
                moments.append(moment)
        allowed = LIMIT_TOLERANCE * LIMIT_WINDOW * limit / 1000 + LIMIT_EXTRA
        most = most_within(moments, LIMIT_WINDOW)
        if most > allowed:
            problems.append(f"LIMIT {name} with {limit / 1000} a second got {most} in {LIMIT_WINDOW} s; "
                            f"allowed {allowed:.1f}")
    return problems


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
            status, _ = one_request(fleet.callers(node), kind, model, f"after-{count}")
            if status == 200:
                missing.discard((node, kind, model))
    return [f"RECOVER {node} does not serve {kind} {model}" for node, kind, model in missing]


def keys_hold(fleet):
    """No node lets a caller in whose key nobody holds, and no key went on to an endpoint."""
    problems = []
    for i in range(NODES):
        status, _ = one_request(fleet.callers(f"n{i}"), "safe", "", f"unknown-{i}", UNKNOWN_KEY)
        if status != 401:
            problems.append(f"KEYS n{i} answers {status} to an unknown key")
    if fleet.leaked:
        problems.append(f"KEYS {fleet.leaked} requests reached an endpoint with their key")
    return problems


def in_force(fleet):
    """All open connections fall silent, then a configuration comes: it must be in force soon."""
    for proxy in list(fleet.proxies.values()):
        proxy.hush_open()
    fleet.configure(newest=f"/v{fleet.version + 1}/")
    until = time.monotonic() + IN_FORCE_SECONDS

    def knows(node):
        count = 0
        while time.monotonic() < until:
            count += 1
            status, _ = one_request(fleet.callers(node), f"v{fleet.version}", "",
                                    f"newest-{node}-{count}")
            if status not in (0, 404):
                return True
            time.sleep(0.02)
        return False

    nodes = [f"n{i}" for i in range(NODES)]
    with concurrent.futures.ThreadPoolExecutor(NODES) as pool:
        known = list(pool.map(knows, nodes))
    return [f"CONFIG {node} does not know version {fleet.version} after {IN_FORCE_SECONDS} s"
            for node, known_there in zip(nodes, known) if not known_there]


class Upgrade:
    """Nodes are replaced by ones of the other build in turn, some of them by force."""

    def __init__(self, chaos, seconds, seed):
        self.chaos = chaos
        self.random = random.Random(f"{seed}-upgrade")
        nodes = [f"n{i}" for i in range(NODES)]
        self.random.shuffle(nodes)
        started = time.monotonic()
        self.left = [(started + seconds * (i + 1) / (NODES + 1), name)
                     for i, name in enumerate(nodes)]

    def due(self):
        while self.left and time.monotonic() >= self.left[0][0]:
            _, name = self.left.pop(0)
            self.chaos.replace_node(name, self.random.random() < KILLED_SHARE)


def soak(folder, build, seconds, seed, other=None, back=False, restoring=True):
    """`other`: the program of another build, by which the nodes begin; `back`: end with it."""
    fleet = start_fleet(folder, build, None if back else other)
    fleet.log = open(folder / "faults.log", "w", buffering=1)
    chaos = Chaos(fleet, seed)
    chaos.restoring = restoring
    try:
        problems = recover(fleet)
        clients = [Client(fleet, i, seed) for i in range(CLIENTS)]
        for client in clients:
            client.start()
        crasher = Crasher(fleet, chaos, seed)
        crasher.start()
        upgrade = Upgrade(chaos, seconds, seed) if other else None
        fleet.next_daemon = other if back else fleet.daemon
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(chaos.random.uniform(*FAULT_EVERY))
            chaos.due()
            chaos.start_ended()
            chaos.strike()
            if upgrade:
                upgrade.due()
        crasher.stopping.set()
        crasher.join(timeout=15)
        chaos.counts["held_back"] = crasher.held_back
        problems += crasher.problems()
        chaos.start_ended()
        chaos.due(everything=True)
        for client in clients:
            client.stopping.set()
        for client in clients:
            client.join(timeout=15)
        problems += recover(fleet)
        problems += in_force(fleet)
        problems += recover(fleet)
        chaos.check_stops()
        for i in range(NODES):
            status = fleet.processes[f"n{i}"].child.poll()
            if status is not None:
                program = fleet.processes[f"n{i}"].command[0]
                problems.append(f"n{i} ({program}) ended by itself with status {status}")
        broken, results = judge(fleet, chaos, clients)
        # An earlier build keeps to no limits.
        problems += [] if other else check_limits(chaos, results)
        return problems + broken + keys_hold(fleet), results, chaos.counts
    finally:
        fleet.stop_all()
        fleet.log.close()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--build", default="build")
    parser.add_argument("--other-daemon", help="begin with this program, and replace node by node")
    parser.add_argument("--back", action="store_true", help="begin with our own and end with the other")
    parser.add_argument("--folder")
    parser.add_argument("--no-restores", action="store_true",
                        help="for an earlier build that does not stand a store that comes back older")
    options = parser.parse_args()
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="rudderloom-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    problems, results, counts = soak(folder, ROOT / options.build, options.seconds, options.seed,
                                     options.other_daemon, options.back, not options.no_restores)
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
