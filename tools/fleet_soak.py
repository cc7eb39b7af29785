#!/usr/bin/env python3
"""Soak test: entry nodes on the users' platform under random faults, checked against the guarantees.

Runs the real programs as separate processes. Every node reaches the store, and every process an
endpoint, through a loopback proxy that delays, resets, stalls or half-blocks connections. Processes
are killed, frozen, drained, stopped and reloaded by signals. The stand-ins lose answers, cut streams
and apply orders late. Clients reuse their connections until the process is gone.

usage: tools/fleet_soak.py [--seconds 20] [--seed 1] [--folder DIRECTORY]
           [--other-daemon PROGRAM [--back]]   two builds at once, as during an upgrade
Nodes of the tested build run with overload control on for every fourth seed: 4, 8, 12.
Exit status 0 when no guarantee was violated; otherwise the folder with all logs is kept.
"""
import argparse
import concurrent.futures
import json
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error

from cluster import ROOT
from fleet import (CRASH_BODY, DEADLINE_SECONDS, SERVICES, ENGINES, MODELS, NODES, STOP_SECONDS,
                   UNKNOWN_KEY, Client, call, send_request, start_fleet, expected_stream)

CLIENTS = 12
FAULT_INTERVAL = (0.2, 1.2)
RESTORE_INTERVAL = (2, 9)
LIMIT_INTERVAL = (2, 6)
LIMIT_SECONDS = (5, 10)
LIMITS = (300, 1000, 3000, 10000)  # requests per 1000 s, over all nodes
# Bound on the requests that an endpoint with a limit gets in any window. Counts only requests from
# nodes that had forwarded its announcement at least LIMIT_FORWARD_SECONDS before and had no fault
# within SETTLE_SECONDS, which is how long a node may take to reconnect.
LIMIT_WINDOW = 4.0
LIMIT_TOLERANCE = 1.5
LIMIT_BURST = 5
LIMIT_FORWARD_SECONDS = 0.5
SETTLE_SECONDS = 3.0
# Share of the replaced nodes that are killed instead of stopped.
FORCED_SHARE = 0.4
RECOVERY_SECONDS = 20
# The nodes' settings allow 3 s; a call on a stalled connection takes half a second more.
APPLY_SECONDS = 5
# A request may end this much before the kill, by the client's clock, and still count as interrupted
# by it.
KILL_CLOCK_SLACK = 0.3
# A request that was sent this long before its connection ended had been read, and is owed an answer.
LOSS_SLACK = 0.2
# The final answer is due this long after the deadline at the latest.
DEADLINE_SLACK = 0.5
# A stream may be cut at the end of a planned stop if it was sent at most this long after the signal
# and its endpoint was still at work in the last sixth of the time until the kill.
STOP_SENT_SECONDS = 3
STOP_LAST_PART = STOP_SECONDS * 5 / 6
# A request that crashes the endpoints that run it: interval between two of them, time until all
# nodes must know of three crashes, and how often settled nodes may still forward it after that.
CRASH_INTERVAL = 0.25
CRASH_DETECTION_SECONDS = 3
CRASH_MAX_FORWARDED = 3
CRASH_RESTART_SECONDS = 1.0


class FaultInjector:
    """Injects random faults drawn from a seed; faults may overlap."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        # A generator of its own, so that the other faults of a seed stay the same.
        self.restore_random = random.Random(f"{seed}-restores")
        self.restoring = True
        self.next_restore = time.monotonic() + self.restore_random.uniform(*RESTORE_INTERVAL)
        self.limit_random = random.Random(f"{seed}-limits")
        self.limiting = True
        self.next_limit = time.monotonic() + self.limit_random.uniform(*LIMIT_INTERVAL)
        self.limited = {}      # process name -> its current limit
        self.limit_arrivals = []   # (process name, limit, arrivals) of ended limits
        self.node_faults = []  # (node, start, end) in wall-clock time
        self.scheduled = []
        self.counts = {}
        self.killed = {}     # process name -> time of the kill
        self.frozen = []     # (process name, start, end)
        self.problems = []
        self.stops = []
        self.malformed_entries = 0
        self.faulty_until = {}  # node -> end of its last fault; None: all nodes

    def schedule(self, seconds, action):
        self.scheduled.append((time.monotonic() + seconds, action))

    def run_due(self, everything=False):
        now = time.monotonic()
        ready = [action for moment, action in self.scheduled if everything or moment <= now]
        self.scheduled = [] if everything else [(m, w) for m, w in self.scheduled if m > now]
        for action in ready:
            action()
        if self.restoring and not everything and now >= self.next_restore:
            self.next_restore = now + self.restore_random.uniform(*RESTORE_INTERVAL)
            self.restore_store()
        if self.limiting and not everything and now >= self.next_limit:
            self.next_limit = now + self.limit_random.uniform(*LIMIT_INTERVAL)
            self.limit_endpoint()

    def inject_fault(self):
        faults = ["kill_node", "freeze_node", "stop_node", "reload_node", "kill_engine",
                  "drain_endpoint", "freeze_endpoint", "endpoint_fault", "store_fault", "cut_store",
                  "cut_endpoint", "reset_endpoint", "stall_store", "stall_endpoint", "configure",
                  "restart_engine", "malformed_entry"]
        name = self.random.choice(faults)
        self.counts[name] = self.counts.get(name, 0) + 1
        self.fleet.log.write(f"{time.time():.3f} {name}\n")
        getattr(self, name)()

    def record_fault(self, node, seconds=0.0):
        """Records a fault of a node, or for None of the store they share, that lasts for `seconds`."""
        until = time.monotonic() + seconds
        self.node_faults.append((node, time.time(), time.time() + seconds))
        self.faulty_until[node] = max(until, self.faulty_until.get(node, 0.0))

    def is_settled(self, node):
        """True when the node had no fault for as long as it may take to learn of crashes."""
        last = max(self.faulty_until.get(node, 0.0), self.faulty_until.get(None, 0.0))
        return time.monotonic() - last > CRASH_DETECTION_SECONDS

    def pick(self, letter, count):
        return f"{letter}{self.random.randrange(count)}"

    def endpoint(self):
        return self.pick(*self.random.choice([("e", ENGINES), ("d", SERVICES)]))

    def kill(self, name):
        process = self.fleet.processes[name]
        self.killed[process.name] = time.monotonic()
        process.kill()

    def kill_node(self):
        name = self.pick("n", NODES)
        self.record_fault(name)
        self.kill(name)
        self.fleet.start_node(name)

    def freeze(self, name, seconds):
        process = self.fleet.processes[name]
        process.signal(signal.SIGSTOP)
        # Thawed with the first fault after this time.
        until = time.monotonic() + seconds + FAULT_INTERVAL[1]
        self.frozen.append((process.name, time.monotonic(), until))
        self.schedule(seconds, lambda: process.signal(signal.SIGCONT))

    def freeze_node(self):
        name, seconds = self.pick("n", NODES), self.random.uniform(0.5, 3)
        self.record_fault(name, seconds)
        self.freeze(name, seconds)

    def freeze_endpoint(self):
        self.freeze(self.endpoint(), self.random.uniform(0.3, 2))

    def stop_node(self):
        name = self.pick("n", NODES)
        self.record_fault(name)
        process = self.fleet.processes[name]
        process.signal(signal.SIGCONT)
        process.signal(signal.SIGTERM)
        self.stops.append((process, time.monotonic()))
        self.fleet.start_node(name)

    def replace_node(self, name, forced):
        """Replaces the node by one that runs the other build."""
        self.fleet.daemons[name] = self.fleet.replacement_daemon
        self.fleet.log.write(f"{time.time():.3f} replace {name} forced={forced}\n")
        self.counts["replace"] = self.counts.get("replace", 0) + 1
        self.record_fault(name)
        process = self.fleet.processes[name]
        if forced:
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
            self.fleet.start_service(name, instance)

    def restart_crashed(self):
        """Schedules a restart, under the same instance id, of endpoints that a request crashed."""
        for name in [f"e{i}" for i in range(ENGINES)] + [f"d{i}" for i in range(SERVICES)]:
            process = self.fleet.processes[name]
            if process.child.poll() is not None and process.name not in self.killed:
                self.killed[process.name] = time.monotonic()
                self.fleet.proxies[name].close()
                self.schedule(CRASH_RESTART_SECONDS,
                        lambda name=name: self.restart(name, self.fleet.instances[name]))

    def kill_engine(self):
        name = self.pick("e", ENGINES)
        self.fleet.count_runs(name)
        self.kill(name)
        self.fleet.proxies[name].close()
        self.restart(name)

    def restart_engine(self):
        """Restarts an engine under the same instance id, possibly before its entry in the store is gone."""
        name = self.pick("e", ENGINES)
        self.fleet.count_runs(name)
        self.kill(name)
        self.fleet.proxies[name].close()
        self.fleet.start_engine(name, self.fleet.instances[name])

    def malformed_entry(self):
        """Adds a malformed entry to the list of endpoints, as another writer might."""
        self.malformed_entries += 1
        good = {"service": "pool", "address": "127.0.0.1:1", "zone": "zone-a", "version": "v1",
                "slots": 8, "state": "ready", "cold-left-ms": 0, "sequence": 0, "models": []}
        spec = self.random.choice([{}, 7, "bytes \ud800", {**good, "slots": -1},
                                  {**good, "state": "asleep"}, {**good, "sequence": 0.5},
                                  {**good, "address": None}, {**good, "models": {"m": 1}}])
        body = {"metadata": {"name": f"odd &?#{self.malformed_entries}"}, "spec": spec}
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

    def set_temporary_faults(self, name, seconds, **faults):
        process = self.fleet.processes[name]

        def put(values):
            try:
                call(process.address, "/faults", values)
            except (OSError, urllib.error.URLError):
                pass
        put(faults)
        self.schedule(seconds, lambda: put({key: 0 for key in faults}))

    def endpoint_fault(self):
        engine = self.pick("e", ENGINES)
        desk = self.pick("d", SERVICES)
        self.random.choice([
            lambda: self.set_temporary_faults(engine, 3, late_orders=2),
            lambda: self.set_temporary_faults(engine, 3, cut_streams=3),
            lambda: self.set_temporary_faults(desk, 3, lose_answers=3),
            lambda: self.set_temporary_faults(desk, 3, shed=4)])()

    def store_fault(self):
        faults = self.random.choice([{"down": 1}, {"delay_ms": 200}, {"lose_answers": 3},
                                     {"forget_history": 1}])
        seconds = self.random.uniform(0.5, 4)
        self.record_fault(None, seconds)
        self.set_temporary_faults("store", seconds, **faults)

    def restore_store(self):
        """Takes the store down for a moment and restores it to its state of some seconds earlier."""
        age, downtime = self.restore_random.uniform(0.1, 8), self.restore_random.uniform(0, 1.5)
        self.counts["restore_store"] = self.counts.get("restore_store", 0) + 1
        self.fleet.log.write(f"{time.time():.3f} restore_store {age:.1f} {downtime:.1f}\n")
        self.record_fault(None, downtime + 2)
        if downtime > 0.3:
            self.set_temporary_faults("store", downtime, down=1)

        def restore():
            try:
                call(self.fleet.processes["store"].address, "/faults",
                     {"restore_ms": int(1000 * (age + downtime))})
            except (OSError, urllib.error.URLError):
                pass
        self.schedule(max(0, downtime - 0.1), restore)

    def limit_endpoint(self):
        """Makes an endpoint announce a request limit for some seconds."""
        name = self.limit_random.choice([f"e{i}" for i in range(ENGINES)] +
                                        [f"d{i}" for i in range(SERVICES)])
        process = self.fleet.processes[name]
        if process.name in self.limited:
            return
        limit = self.limit_random.choice(LIMITS)
        self.counts["limit_endpoint"] = self.counts.get("limit_endpoint", 0) + 1
        self.fleet.log.write(f"{time.time():.3f} limit_endpoint {process.name} {limit}\n")
        self.limited[process.name] = limit

        def announce(value):
            try:
                if not value:
                    stats = json.loads(call(process.address, "/stats"))
                    self.limit_arrivals.append((process.name, limit, stats["limited_arrivals"]))
                call(process.address, "/faults", {"limit": value})
            except (OSError, ValueError):
                pass

        def end():
            announce(0)
            self.limited.pop(process.name, None)
        announce(limit)
        self.schedule(self.limit_random.uniform(*LIMIT_SECONDS), end)

    def was_settled(self, node, moment):
        """True when the node itself had no fault within SETTLE_SECONDS before `moment`."""
        return not any(name == node and start <= moment and moment - end < SETTLE_SECONDS
                       for name, start, end in self.node_faults)

    def cut(self, name, seconds):
        proxy = self.fleet.proxies[name]
        proxy.delay = self.random.uniform(0.02, 0.2)
        proxy.mode = self.random.choice(["delay", "silent", "one_way"])

        def restore_proxy():
            proxy.mode = "pass"
        self.schedule(seconds, restore_proxy)

    def cut_store(self):
        name, seconds = self.pick("n", NODES), self.random.uniform(0.5, 4)
        self.record_fault(name, seconds)
        self.cut(name, seconds)

    def cut_endpoint(self):
        self.cut(self.endpoint(), self.random.uniform(0.3, 2))

    def reset_endpoint(self):
        self.fleet.proxies[self.endpoint()].reset_all()

    def stall_store(self):
        name = self.pick("n", NODES)
        self.record_fault(name)
        self.fleet.proxies[name].stall_open()

    def stall_endpoint(self):
        self.fleet.proxies[self.endpoint()].stall_open()

    def configure(self):
        try:
            self.fleet.write_configuration()
        except (OSError, urllib.error.URLError):
            self.fleet.version -= 1

    def check_stops(self):
        for process, asked_at in self.stops:
            remaining = max(0.1, asked_at + STOP_SECONDS + 2 - time.monotonic())
            try:
                status = process.child.wait(timeout=remaining)
            except subprocess.TimeoutExpired:
                self.problems.append(f"{process.name} ({process.command[0]}) did not stop")
                process.kill()
                continue
            if status != 0:
                self.problems.append(f"{process.name} ({process.command[0]}) stopped with status {status}")


class CrashRequestSender(threading.Thread):
    """Sends a request that crashes the endpoints that run it, to random nodes."""

    def __init__(self, fleet, injector, seed):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.injector = injector
        self.random = random.Random(f"{seed}-crasher")
        self.stopping = threading.Event()
        self.forwarded_at = []  # times at which a settled node forwarded it
        self.quarantined_count = 0

    def run(self):
        count = 0
        while not self.stopping.wait(CRASH_INTERVAL):
            node = f"n{self.random.randrange(NODES)}"
            settled = self.injector.is_settled(node)
            count += 1
            status, body = send_request(self.fleet.caller_address(node), "safe", "", f"crash-{count}",
                                       body=CRASH_BODY)
            if "quarantined" in body:
                self.quarantined_count += 1
            elif status == 502 and settled and self.injector.is_settled(node):
                self.forwarded_at.append(time.monotonic())

    def problems(self):
        if len(self.forwarded_at) < 3:
            return []
        later = [at for at in self.forwarded_at if at - self.forwarded_at[2] > CRASH_DETECTION_SECONDS]
        if len(later) <= CRASH_MAX_FORWARDED:
            return []
        return [f"CRASHES a request that crashes endpoints was forwarded {len(later)} times"]


def max_in_window(moments, window):
    """Returns the largest number of moments within any window of this length."""
    moments = sorted(moments)
    first = most = 0
    for last, moment in enumerate(moments):
        while moment - moments[first] > window:
            first += 1
        most = max(most, last - first + 1)
    return most


def check_limits(injector, results):
    """Checks what endpoints with limits got from settled nodes that had forwarded the announcement."""
    sent_by = {r["id"]: (r["node"], r["process"]) for r in results if "process" in r}
    first_forwarded = {}  # (node process, endpoint instance) -> first time
    for r in results:
        if "limited_instance" in r:
            key = (r["process"], r["limited_instance"])
            first_forwarded[key] = min(r["ended_wall"], first_forwarded.get(key, r["ended_wall"]))
    problems = []
    for name, limit, arrivals in injector.limit_arrivals:
        moments = []
        for milliseconds, request_id in arrivals:
            moment = milliseconds / 1000
            node, process = sent_by.get(request_id, (None, None))
            forwarded_time = first_forwarded.get((process, injector.fleet.instance_of.get(name)))
            if (forwarded_time is not None and moment >= forwarded_time + LIMIT_FORWARD_SECONDS
                    and injector.was_settled(node, moment)):
                moments.append(moment)
        allowed = LIMIT_TOLERANCE * LIMIT_WINDOW * limit / 1000 + LIMIT_BURST
        most = max_in_window(moments, LIMIT_WINDOW)
        if most > allowed:
            problems.append(f"LIMIT {name} with {limit / 1000} requests per second got {most} "
                            f"in {LIMIT_WINDOW} s; allowed {allowed:.1f}")
    return problems


def log_lines(folder, request_ids):
    """Returns the nodes' log lines of these requests, by id."""
    lines = {request_id: [] for request_id in request_ids}
    for path in folder.glob("n*.log"):
        for line in path.read_text(errors="replace").splitlines():
            found = re.search(r"request_id=(\S+)", line)
            if found and found[1] in lines:
                lines[found[1]].append(line[line.find("event="):])
    return lines


def endpoint_broke_off(lines):
    """True if an endpoint, and not the node, ended an attempt in the middle."""
    return any(re.search(r"reason=(cut|torn)_\w+", line) and "Operation canceled" not in line
               and "Bad file descriptor" not in line for line in lines)


def check_answers(fleet, injector, results):
    """Checks that what a node had read was answered whole and in time.

    Not counted: nodes that were killed or frozen, deadlines, streams that their endpoint broke off,
    and those that a planned stop may cut.
    """
    problems = []
    cut = []
    stopped = {process.name: asked_at for process, asked_at in injector.stops}
    for r in results:
        if "sent" not in r:
            continue
        process = r["process"]
        killed = injector.killed.get(process)
        if killed is not None and r["ended"] >= killed - KILL_CLOCK_SLACK:
            continue
        if any(name == process and start <= r["ended"] and end >= r["started"]
               for name, start, end in injector.frozen):
            continue
        if r["ended"] - r["started"] > DEADLINE_SECONDS + DEADLINE_SLACK:
            problems.append(f"LATE {r['id']} {r['kind']}: {process} held it for "
                            f"{r['ended'] - r['started']:.2f} s")
        if r["whole"]:
            continue
        if r["status"] == 0:
            if r["ended"] - r["sent"] > LOSS_SLACK:
                problems.append(f"LOST {r['id']} {r['kind']}: {process} gave no answer for "
                                f"{r['ended'] - r['sent']:.2f} s: {r['error']}")
            continue
        signal_at = stopped.get(process)
        may_be_cut = (signal_at is not None and r["started"] <= signal_at + STOP_SENT_SECONDS
                      and r["ended"] >= signal_at + STOP_LAST_PART)
        if not may_be_cut and r["ended"] - r["started"] < DEADLINE_SECONDS - 0.05:
            cut.append(r)
    lines = log_lines(fleet.folder, [r["id"] for r in cut])
    for r in cut:
        if not endpoint_broke_off(lines[r["id"]]):
            problems.append(f"CUT {r['id']} {r['kind']} {r['model']} by {r['process']} after "
                            f"{r['ended'] - r['started']:.2f} s: " + " | ".join(lines[r["id"]]))
    return problems


def check_results(fleet, injector, clients):
    """Returns the violated guarantees, one line each, and all results in order of their end."""
    problems = list(injector.problems)
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
            expected = (expected_stream(r["id"], r["model"]) if r["kind"] == "stream"
                        else json.dumps({"id": r["id"]}, separators=(",", ":")))
            if r["body"] != expected:
                problems.append(f"MIXED {r['id']}: {r['body'][:80]!r}")
        if r["status"] == 404:
            seen = configured.get(r.get("process"))
            if r["kind"] != "added" or (seen is not None and seen < r["started"]):
                problems.append(f"CONFIG {r['id']} refused with 404 by {r.get('process')}")
        elif r["kind"] == "added" and r["status"] == 200:
            configured.setdefault(r["process"], r["ended"])
        killed = injector.killed.get(r.get("process"))
        interrupted = killed is not None and r["ended"] >= killed - KILL_CLOCK_SLACK
        if r["status"] == 0 and ran > 0 and not interrupted:
            problems.append(f"LOST {r['id']} ran, but {r.get('process')} gave no answer: {r['error']}")
    return problems, results


def check_recovery(fleet):
    """Checks that every node serves everything again once all faults are over."""
    until = time.monotonic() + RECOVERY_SECONDS
    missing = {(f"n{i}", kind, model) for i in range(NODES)
               for kind, model in [("once", ""), ("safe", "")] + [("stream", m) for m in MODELS]}
    count = 0
    while missing and time.monotonic() < until:
        for node, kind, model in sorted(missing):
            count += 1
            status, _ = send_request(fleet.caller_address(node), kind, model, f"after-{count}")
            if status == 200:
                missing.discard((node, kind, model))
    return [f"RECOVER {node} does not serve {kind} {model}" for node, kind, model in missing]


def check_keys(fleet):
    """Checks that nodes reject unknown API keys and that no key was forwarded to an endpoint."""
    problems = []
    for i in range(NODES):
        status, _ = send_request(fleet.caller_address(f"n{i}"), "safe", "", f"unknown-{i}", UNKNOWN_KEY)
        if status != 401:
            problems.append(f"KEYS n{i} answers {status} to an unknown key")
    if fleet.leaked_keys:
        problems.append(f"KEYS {fleet.leaked_keys} requests reached an endpoint with their API key")
    return problems


def check_configuration_applied(fleet):
    """Stalls all open connections, then checks that a new configuration is soon applied everywhere."""
    for proxy in list(fleet.proxies.values()):
        proxy.stall_open()
    fleet.write_configuration(extra_prefix=f"/v{fleet.version + 1}/")
    until = time.monotonic() + APPLY_SECONDS

    def has_version(node):
        count = 0
        while time.monotonic() < until:
            count += 1
            status, _ = send_request(fleet.caller_address(node), f"v{fleet.version}", "",
                                    f"applied-{node}-{count}")
            if status not in (0, 404):
                return True
            time.sleep(0.02)
        return False

    nodes = [f"n{i}" for i in range(NODES)]
    with concurrent.futures.ThreadPoolExecutor(NODES) as pool:
        applied = list(pool.map(has_version, nodes))
    return [f"CONFIG {node} does not know version {fleet.version} after {APPLY_SECONDS} s"
            for node, is_applied in zip(nodes, applied) if not is_applied]


class Upgrade:
    """Replaces the nodes one by one with the other build, killing some of them."""

    def __init__(self, injector, seconds, seed):
        self.injector = injector
        self.random = random.Random(f"{seed}-upgrade")
        nodes = [f"n{i}" for i in range(NODES)]
        self.random.shuffle(nodes)
        started = time.monotonic()
        self.pending = [(started + seconds * (i + 1) / (NODES + 1), name)
                     for i, name in enumerate(nodes)]

    def due(self):
        while self.pending and time.monotonic() >= self.pending[0][0]:
            _, name = self.pending.pop(0)
            self.injector.replace_node(name, self.random.random() < FORCED_SHARE)


def overload_control_of(seed):
    """Returns the setting of the nodes, which depends on the seed alone."""
    return "on" if seed % 4 == 0 else "off"


def soak(folder, build, seconds, seed, other=None, back=False, restoring=True):
    """`other` is the daemon of another build that the nodes run first, or last if `back` is set."""
    fleet = start_fleet(folder, build, None if back else other, overload_control_of(seed))
    fleet.log = open(folder / "faults.log", "w", buffering=1)
    injector = FaultInjector(fleet, seed)
    injector.restoring = restoring
    try:
        problems = check_recovery(fleet)
        clients = [Client(fleet, i, seed) for i in range(CLIENTS)]
        for client in clients:
            client.start()
        crash_sender = CrashRequestSender(fleet, injector, seed)
        crash_sender.start()
        upgrade = Upgrade(injector, seconds, seed) if other else None
        fleet.replacement_daemon = other if back else fleet.daemon
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(injector.random.uniform(*FAULT_INTERVAL))
            injector.run_due()
            injector.restart_crashed()
            injector.inject_fault()
            if upgrade:
                upgrade.due()
        crash_sender.stopping.set()
        crash_sender.join(timeout=15)
        injector.counts["quarantined"] = crash_sender.quarantined_count
        problems += crash_sender.problems()
        injector.restart_crashed()
        injector.run_due(everything=True)
        for client in clients:
            client.stopping.set()
        for client in clients:
            client.join(timeout=15)
        problems += check_recovery(fleet)
        problems += check_configuration_applied(fleet)
        problems += check_recovery(fleet)
        injector.check_stops()
        for i in range(NODES):
            status = fleet.processes[f"n{i}"].child.poll()
            if status is not None:
                program = fleet.processes[f"n{i}"].command[0]
                problems.append(f"n{i} ({program}) exited unexpectedly with status {status}")
        broken, results = check_results(fleet, injector, clients)
        # Earlier builds do not apply the limits, and cut streams that could go on.
        if not other:
            problems += check_limits(injector, results) + check_answers(fleet, injector, results)
        return problems + broken + check_keys(fleet), results, injector.counts
    finally:
        fleet.stop_all()
        fleet.log.close()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--build", default="build")
    parser.add_argument("--other-daemon", help="start with this daemon, then replace it node by node")
    parser.add_argument("--back", action="store_true",
                        help="start with the tested build and end with the other")
    parser.add_argument("--folder")
    parser.add_argument("--no-restores", action="store_true",
                        help="for an earlier build that cannot handle a store restored to an older state")
    options = parser.parse_args()
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="rudderloom-soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    problems, results, counts = soak(folder, ROOT / options.build, options.seconds, options.seed,
                                     options.other_daemon, options.back, not options.no_restores)
    outcomes = {}
    for r in results:
        key = str(r["status"] or "no answer")
        outcomes[key] = outcomes.get(key, 0) + 1
    print(f"seed {options.seed}, overload control {overload_control_of(options.seed)}: "
          f"{len(results)} requests {outcomes}, faults {counts}")
    for problem in problems:
        print("BROKEN", problem)
    if problems:
        print("logs:", folder)
        sys.exit(1)
    if not options.folder:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
