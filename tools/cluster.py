"""Starts the stand-ins and entry nodes as plain processes on loopback, for the demo and the soak."""
import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_SECONDS = 20
SERVED_SECONDS = 40


class Process:
    """One program with its log; `address` is what it printed when it was ready."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.log = open(folder / f"{name}.log", "ab")
        self.child = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self.log)
        self.words = self._read_ready()

    def _read_ready(self):
        line = self.child.stdout.readline().decode()
        if not line.startswith("ready"):
            raise RuntimeError(f"{self.name} did not start: {line!r}; see {self.log.name}")
        return line.split()[1:]

    @property
    def address(self):
        return self.words[0].split("=")[-1]

    @property
    def peers(self):
        return self.words[1].split("=")[-1]

    def signal(self, number):
        if self.child.poll() is None:
            os.kill(self.child.pid, number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()

    def stop(self, seconds=40):
        """A planned stop; gives the exit status."""
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
                       fences=False, port=0):
        command = [self.standin, "endpoint", "--name", name, "--pool", pool, "--zone", zone,
                   "--memory", memory, "--slots", str(slots), "--token-ms", str(token_ms),
                   "--port", str(port), "--platform", self.processes["platform"].address,
                   "--weight-store", self.processes["weight-store"].address]
        return self._start(name, command + (["--checks-fences"] if fences else []))

    def start_service(self, name, service, zone="zone-a", slots=32):
        return self._start(name, [self.standin, "service", "--name", name, "--service", service,
                                  "--pool", service, "--zone", zone, "--slots", str(slots),
                                  "--platform", self.processes["platform"].address])

    def start_node(self, name, zone="zone-a", changes=None):
        settings = {"node": {"name": name, "availability_zone": zone},
                    "platform": {"address": self.processes["platform"].address}}
        for key, value in (changes or {}).items():
            settings[key] = {**settings.get(key, {}), **value} if isinstance(value, dict) else value
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return self._start(name, [self.daemon, "daemon", "--settings", str(path)])

    def command(self, *words, check=True):
        """Runs one operators' command; gives what it printed."""
        done = subprocess.run([self.daemon, *words], capture_output=True, text=True, check=False,
                              timeout=60)
        if check and done.returncode != 0:
            raise RuntimeError(f"{words}: status {done.returncode}: {done.stdout}{done.stderr}")
        return done.stdout

    def status(self, node):
        return json.loads(self.command("status", "--daemon", node.peers, "--output", "json"))

    def wait_served(self, node, seconds=SERVED_SECONDS):
        """Waits until every declared model and adapter is resident somewhere."""
        deadline = time.monotonic() + seconds
        while True:
            configuration = json.loads(self.command("get", "--daemon", node.peers))
            wanted = {f"{item['name']}@{item['version']}"
                      for each in configuration["sets"].values()
                      for item in each.get("models", []) + each.get("adapters", [])}
            resident = {unit["unit"] for endpoint in self.status(node)["endpoints"]
                        for unit in endpoint["units"] if unit["state"] == "resident"}
            if wanted and wanted <= resident:
                return
            if time.monotonic() > deadline:
                raise RuntimeError(f"not resident after {seconds} s: {wanted - resident}")
            time.sleep(0.1)

    def load(self, scenario, name="load", all_whole=False):
        """Starts the load tool; its table comes on standard output."""
        path = self.folder / f"{name}.scenario.json"
        path.write_text(json.dumps(scenario))
        command = [self.load_tool, str(path), "--json", str(self.folder / f"{name}.report.json")]
        return subprocess.Popen(command + (["--all-whole"] if all_whole else []),
                                stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)

    def report(self, name="load"):
        return json.loads((self.folder / f"{name}.report.json").read_text())

    def stop_all(self):
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.kill()


def fetch(address, path, body=None, timeout=5):
    """GETs, or POSTs when there is a body; gives the JSON."""
    data = None if body is None else json.dumps(body).encode()
    with urllib.request.urlopen(f"http://{address}{path}", data=data, timeout=timeout) as answer:
        return json.loads(answer.read())


def switch_faults(process, **faults):
    """Switches faults of a stand-in."""
    fetch(process.address, "/faults", faults)
