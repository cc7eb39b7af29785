#!/usr/bin/env python3
"""Soak test: streams go on only at the software version of the engine that began them.

Runs the real programs as separate processes. Engines are replaced by ones of the next version, or of
the one before, while nodes are killed, frozen, stopped and cut off from the store, one or all at
once, and while the store fails or comes back from an older copy. Clients drop their streams after
some events and take them up at nodes drawn at random.

usage: tools/version_soak.py [--seconds 20] [--seed 1] [--folder DIRECTORY]
Exit status 0 when no stream went on at another version; otherwise the folder with all logs is kept.
"""
import argparse
import http.client
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

from cluster import ROOT
from fleet import DEADLINE_SECONDS, ENGINES, NODES, Fleet
from fleet_soak import FaultInjector

CLIENTS = 24
MODELS = "m,n"
EVENT_MS = 60  # a stream of eight events takes half a second
READ_EVENTS = 2  # before a client drops a stream
MAX_TAKE_UPS = 6
FAULT_INTERVAL = (0.3, 1.5)
# From the first engine of a version to the end of those that it replaces.
REPLACE_SECONDS = (0.0, 1.5)
ALL_DOWN_SECONDS = (0.1, 2.0)


class VersionedFleet(Fleet):
    """A fleet whose engines state a software version."""

    def __init__(self, folder, build):
        super().__init__(folder, build)
        self.engine_version = 1
        self.version_of = {}  # by instance

    def start_engine(self, name, instance=None):
        version = f"v{self.engine_version}"
        self.start_endpoint(name, "pool", ["--models", MODELS, "--memory-mb", "300", "--slots", "16",
                                           "--work-ms", str(EVENT_MS), "--version", version], instance)
        self.version_of[self.instances[name]] = version


class VersionFaults(FaultInjector):
    """Faults of nodes and of the store, and changes of the version."""

    FAULTS = ("kill_node", "freeze_node", "stop_node", "kill_all", "stop_all", "store_fault",
              "cut_store", "stall_store", "next_version", "next_version", "former_version")

    def __init__(self, fleet, seed):
        super().__init__(fleet, seed)
        self.limiting = False

    def inject_fault(self):
        name = self.random.choice(self.FAULTS)
        self.counts[name] = self.counts.get(name, 0) + 1
        self.fleet.log.write(f"{time.time():.3f} {name} v{self.fleet.engine_version}\n")
        getattr(self, name)()

    def end_all(self, number):
        """Ends all nodes by a signal, and starts them after a pause."""
        for i in range(NODES):
            process = self.fleet.processes[f"n{i}"]
            process.signal(signal.SIGCONT)
            process.signal(number)
            self.killed[process.name] = time.monotonic()
        pause = self.random.uniform(*ALL_DOWN_SECONDS)
        self.record_fault(None, pause)
        for i in range(NODES):
            self.schedule(pause, lambda name=f"n{i}": self.fleet.start_node(name))

    def kill_all(self):
        self.end_all(signal.SIGKILL)

    def stop_all(self):
        self.end_all(signal.SIGTERM)

    def replace_engines(self, version):
        self.fleet.engine_version = version
        for i in range(ENGINES):
            name = f"e{i}"
            former = self.fleet.processes[name]
            self.killed[former.name] = time.monotonic()
            self.fleet.start_engine(name)
            self.schedule(self.random.uniform(*REPLACE_SECONDS),
                          lambda process=former: process.signal(signal.SIGTERM))

    def next_version(self):
        self.replace_engines(self.fleet.engine_version + 1)

    def former_version(self):
        self.replace_engines(max(1, self.fleet.engine_version - 1))


class StreamClient(threading.Thread):
    """Begins streams, drops them, and takes them up at other nodes."""

    def __init__(self, fleet, number, seed):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.number = number
        self.random = random.Random(f"{seed}-streams-{number}")
        self.stopping = threading.Event()
        self.begun = self.went_on = self.refused = 0
        self.problems = []

    def run(self):
        count = 0
        while not self.stopping.wait(self.random.uniform(0.05, 0.3)):
            self.play(f"s{self.number}-{count}")
            count += 1

    def play(self, began_as):
        status, version, _ = self.send(began_as, {}, READ_EVENTS)
        if status != 200 or not version:
            return
        self.begun += 1
        for attempt in range(MAX_TAKE_UPS):
            if self.stopping.wait(self.random.uniform(0.05, 2.0)):
                return
            headers = {"Last-Event-Id": str(READ_EVENTS), "Resumes": began_as}
            status, next_version, node = self.send(f"{began_as}-{attempt}", headers)
            if status == 200 and next_version:
                self.went_on += 1
                if next_version != version:
                    self.problems.append(f"MIXED {began_as}-{attempt} at {node}: began at {version}, "
                                         f"went on at {next_version}")
                return
            self.refused += status == 503

    def send(self, request_id, headers, events=0):
        """Returns status, version and node; reads so many events, or else all."""
        node = f"n{self.random.randrange(NODES)}"
        headers = {"Host": "h.example", "Request-Id": request_id, "Model": "m",
                   "Token-Count": "10,40", "Prompt-Prefix": "ab:6,cd:4",
                   "Authorization": "Token key-a-9d41c07be2a3",
                   "Deadline-Ms": str(DEADLINE_SECONDS * 1000), **headers}
        connection = None
        try:
            host, port = self.fleet.caller_address(node).split(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=DEADLINE_SECONDS + 2)
            connection.request("POST", "/stream/x", body=b"body", headers=headers)
            answer = connection.getresponse()
            if answer.status != 200:
                return answer.status, "", node
            instance = answer.getheader("Server-Stamp", "").rsplit(".", 1)[0]
            while line := answer.readline():
                if events and line.startswith(f"id: {events}".encode()):
                    break
            return answer.status, self.fleet.version_of.get(instance, ""), node
        except (OSError, http.client.HTTPException):
            return 0, "", node
        finally:
            if connection is not None:
                connection.close()


def start_fleet(folder, build):
    fleet = VersionedFleet(folder, build)
    try:
        fleet.write_configuration()
        for i in range(ENGINES):
            fleet.start_engine(f"e{i}")
        for i in range(NODES):
            fleet.start_node(f"n{i}")
    except Exception:
        fleet.stop_all()
        raise
    return fleet


def soak(folder, build, seconds, seed):
    fleet = start_fleet(folder, build)
    fleet.log = open(folder / "faults.log", "w", buffering=1)
    injector = VersionFaults(fleet, seed)
    clients = [StreamClient(fleet, i, seed) for i in range(CLIENTS)]
    try:
        for client in clients:
            client.start()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(injector.random.uniform(*FAULT_INTERVAL))
            injector.run_due()
            injector.inject_fault()
        injector.run_due(everything=True)
        for client in clients:
            client.stopping.set()
        for client in clients:
            client.join(timeout=2 * DEADLINE_SECONDS)
        return clients, injector.counts
    finally:
        fleet.stop_all()
        fleet.log.close()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--build", default="build")
    parser.add_argument("--folder")
    options = parser.parse_args()
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="rudderloom-versions-"))
    folder.mkdir(parents=True, exist_ok=True)
    clients, counts = soak(folder, ROOT / options.build, options.seconds, options.seed)
    begun = sum(client.begun for client in clients)
    went_on = sum(client.went_on for client in clients)
    refused = sum(client.refused for client in clients)
    print(f"seed {options.seed}: {begun} streams begun, {went_on} went on, {refused} refusals, "
          f"faults {counts}")
    problems = [problem for client in clients for problem in client.problems]
    if went_on == 0:
        problems.append("STUCK no stream went on")
    for problem in problems:
        print("BROKEN", problem)
    if problems:
        print("logs:", folder)
        sys.exit(1)
    if not options.folder:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
