"""Runs stand-ins and entry nodes as separate processes on loopback, for the demo and the soak test."""
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_SECONDS = 20
RESIDENT_TIMEOUT_SECONDS = 40


class Process:
    """A running program and its log file; `address` is what it printed once it was ready."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.log = open(folder / f"{name}.log", "ab")
        self.child = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self.log)
        self.ready_fields = self._read_ready()

    def _read_ready(self):
        line = self.child.stdout.readline().decode()
        if not line.startswith("ready"):
            raise RuntimeError(f"{self.name} did not start: {line!r}; see {self.log.name}")
        return line.split()[1:]

    @property
    def address(self):
        return self.ready_fields[0].split("=")[-1]

    @property
    def peers(self):
        return self.ready_fields[1].split("=")[-1]

    def signal(self, number):
        if self.child.poll() is None:
            os.kill(self.child.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def stop(self, seconds=40):
        """Stops the process with SIGTERM and returns its exit status."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        return self.child.wait(timeout=seconds)


class Cluster:
    """A platform, a weight store, endpoints, services and entry nodes."""

    def __init__(self, folder, build="build"):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        build = ROOT / build
        self.daemon = str(build / "src/rudderloom/app/rudderloom")
        self.standin = str(build / "src/standin/rudderloom_standin")
        self.load_tool = str(build / "src/load/rudderloom_load")
        self.processes = {}

    def _start(self, name, command):
        process = Process(name, command, self.folder)
        self.processes[name] = process
        return process

    def start_platform(self):
        return self._start("platform", [self.standin, "platform"])

    def start_weight_store(self, load_ms, per_second):
        return self._start("weight-store", [self.standin, "weight-store", "--load-ms", str(load_ms),
                                            "--loads-per-second", str(per_second)])

    def start_endpoint(self, name, pool, zone="zone-a", memory="48GiB", slots=16, token_ms=5,
                       checks_fencing=False, port=0):
        command = [self.standin, "endpoint", "--name", name, "--pool", pool, "--zone", zone,
                   "--memory", memory, "--slots", str(slots), "--token-ms", str(token_ms),
                   "--port", str(port), "--platform", self.processes["platform"].address,
                   "--weight-store", self.processes["weight-store"].address]
        return self._start(name, command + (["--checks-fences"] if checks_fencing else []))

    def start_service(self, name, service, zone="zone-a", slots=32):
        return self._start(name, [self.standin, "service", "--name", name, "--service", service,
                                  "--pool", service, "--zone", zone, "--slots", str(slots),
                                  "--platform", self.processes["platform"].address])

    def start_node(self, name, zone="zone-a", overrides=None):
        settings = {"node": {"name": name, "availability_zone": zone},
                    "platform": {"address": self.processes["platform"].address}}
        for key, value in (overrides or {}).items():
            settings[key] = {**settings.get(key, {}), **value} if isinstance(value, dict) else value
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return self._start(name, [self.daemon, "daemon", "--settings", str(path)])

    def command(self, *arguments, check=True):
        """Runs one operator command and returns its standard output."""
        result = subprocess.run([self.daemon, *arguments], capture_output=True, text=True, check=False,
                              timeout=60)
        if check and result.returncode != 0:
            raise RuntimeError(f"{arguments}: status {result.returncode}: {result.stdout}{result.stderr}")
        return result.stdout

    def status(self, node):
        return json.loads(self.command("status", "--daemon", node.peers, "--output", "json"))

    def wait_until_resident(self, node, seconds=RESIDENT_TIMEOUT_SECONDS):
        """Waits until every declared model and adapter is resident on some endpoint."""
        deadline = time.monotonic() + seconds
        while True:
            configuration = json.loads(self.command("get", "--daemon", node.peers))
            declared_units = {f"{item['name']}@{item['version']}"
                              for declared in configuration["sets"].values()
                              for item in declared.get("models", []) + declared.get("adapters", [])}
            resident = {unit["unit"] for endpoint in self.status(node)["endpoints"]
                        for unit in endpoint["units"] if unit["state"] == "resident"}
            if declared_units and declared_units <= resident:
                return
            if time.monotonic() > deadline:
                raise RuntimeError(f"not resident after {seconds} s: {declared_units - resident}")
            time.sleep(0.1)

    def start_load(self, scenario, name="load", all_whole=False):
        """Starts the load tool, which prints its table to standard output."""
        path = self.folder / f"{name}.scenario.json"
        path.write_text(json.dumps(scenario))
        command = [self.load_tool, str(path), "--json", str(self.folder / f"{name}.report.json")]
        return subprocess.Popen(command + (["--all-whole"] if all_whole else []),
                                stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)

    def load_report(self, name="load"):
        return json.loads((self.folder / f"{name}.report.json").read_text())

    def stop_all(self):
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.kill()


def fetch_json(address, path, body=None, timeout=5):
    """Sends a GET, or a POST if there is a body, and returns the JSON of the response."""
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(f"http://{address}{path}", data=data, timeout=timeout) as answer:
        return json.loads(answer.read())


def set_faults(process, **faults):
    """Sets faults of a stand-in; 0 turns a fault off."""
    fetch_json(process.address, "/faults", faults)
