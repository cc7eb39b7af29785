"""A small instance of the users' platform with entry nodes in front, as processes on loopback."""
import http.client
import json
import random
import threading
import time
import urllib.error
import urllib.request

from cluster import Process
from loopback_proxy import LoopbackProxy

NODES, ENGINES, SERVICES = 3, 4, 3
MODELS = ("m", "n", "o", "p")
EVENTS = 8
# API key by customer. Entry nodes must not forward keys to endpoints.
CUSTOMERS = {"member-a": "key-a-9d41c07be2a3", "member-b": "key-b-5f68e1b40c77"}
UNKNOWN_KEY = "key-x-000000000000"
STOP_SECONDS = 8
DEADLINE_SECONDS = 5  # of the requests of Client, and the timeout of all routes
CRASH_BODY = "ends whoever runs it"


def call(address, path, body=None, method=None, timeout=2):
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


def expected_stream(request_id, model):
    return "".join(f"id: {i}\ndata: {request_id} {model} {i}\n\n" for i in range(1, EVENTS + 1))


class Fleet:
    """Store, endpoints and entry nodes, with the proxies in between."""

    def __init__(self, folder, build):
        self.folder = folder
        self.daemon = str(build / "src/rudderloom/app/rudderloom")
        self.daemons = {}    # node -> its daemon, where it is not that of the tested build
        self.replacement_daemon = self.daemon
        self.standin = str(build / "platform/rudderloom_platform_standin")
        self.processes = {}
        self.proxies = {}
        self.runs = {}      # request id -> number of executions on processes that have ended
        self.instances = {}  # endpoint name -> instance id in the store
        self.instance_of = {}  # process name of an endpoint -> instance id
        self.leaked_keys = 0      # requests that reached an endpoint with a caller's API key
        self.starts = 0
        self.version = 0
        self.overload_control = "off"  # of nodes of the tested build
        self.start("store", [self.standin, "store"])

    def start(self, name, command):
        self.starts += 1
        process = Process(f"{name}-{self.starts}", command, self.folder)
        self.processes[name] = process
        return process

    def start_endpoint(self, name, service, extra_arguments, instance=None):
        proxy = LoopbackProxy()
        instance = instance or f"{name}-{self.starts}"
        self.instances[name] = instance
        process = self.start(name, [self.standin, "engine" if service == "pool" else "service",
                                    "--store", self.processes["store"].address, "--instance",
                                    instance, "--service", service, "--advertise", proxy.address,
                                    "--crash-body", CRASH_BODY, *extra_arguments])
        proxy.target = process.address
        self.proxies[name] = proxy
        self.instance_of[process.name] = instance

    def start_engine(self, name, instance=None):
        """Starts a new engine, or restarts one under its previous instance id `instance`."""
        models = ",".join(random.Random(name).sample(MODELS, 2))
        self.start_endpoint(name, "pool", ["--models", models, "--memory-mb", "300"], instance)

    def start_service(self, name, instance=None):
        self.start_endpoint(name, "desk", ["--slots", "16"], instance)

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
        daemon = self.daemons.get(name, self.daemon)
        if daemon == self.daemon:  # an earlier build rejects settings that it does not know
            settings["listen"]["gateway"] = loopback
            settings["overload_control"] = self.overload_control
            settings["log_lines_per_second"] = 100000  # checks read why a stream was cut
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.start(name, [daemon, "daemon", "--settings", str(path)])

    def write_configuration(self, extra_prefix=None):
        """Writes the next version; `extra_prefix` adds a route that no earlier version has."""
        self.version += 1
        route = {"host": "h.example", "timeout-ms": 5000, "latency-goal-ms": 500, "priority": 1,
                 "max-attempts": 2, "is-sticky": False, "target-gap-ms": 400}
        kinds = {"/stream/": ("stream", "pool"), "/once/": ("unsafe", "desk"),
                 "/safe/": ("safe", "desk")}
        if self.version > 1:
            kinds["/added/"] = ("safe", "desk")
        if extra_prefix:
            kinds[extra_prefix] = ("safe", "desk")
        routes = [{**route, "name": "r" + prefix, "path-prefix": prefix, "route-kind": kind,
                   "service": service, "resumable": kind == "stream"}
                  for prefix, (kind, service) in kinds.items()]
        models = [{"name": name, "weights-mb": 90.0, "load-time-s": 0.3, "disk-load-s": 0.1,
                   "adapters": 2, "adapter-size-mb": 1.0} for name in MODELS]
        engine = {"slots": 8, "kv-capacity": 100000, "weights-mb": 300.0, "adapter-slots": 4,
                  "loads-per-s": 10.0, "models": models}
        tenants = [{"name": name, "api-keys": [key], "priority": 1, "unit": "tokens",
                    "plain-tokens": 10, "rate-per-s": 1000000, "burst": 1000000}
                   for name, key in CUSTOMERS.items()]
        spec = {"version": self.version, "routes": routes, "limits": {}, "tenants": tenants,
                "services": [{"name": "pool", "max-conns": 100, "engine": engine},
                             {"name": "desk", "max-conns": 100}]}
        body = {"metadata": {"name": "main"}, "spec": spec}
        store = self.processes["store"].address
        if self.version == 1:
            call(store, "/objects/config", body, "POST")
        else:
            call(store, "/objects/config/main", body, "PUT")

    def caller_address(self, node):
        """Returns the address where a node accepts requests."""
        return self.processes[node].ready_fields[0].split("=")[1]

    def stop_all(self):
        for process in self.processes.values():
            process.kill()

    def count_runs(self, name):
        """Adds the executions counted by an endpoint; call it before killing the endpoint."""
        try:
            stats = json.loads(call(self.processes[name].address, "/stats"))
        except (OSError, urllib.error.URLError, ValueError):
            return
        self.leaked_keys += stats["leaked"]
        for request_id, count in stats["runs"].items():
            self.runs[request_id] = self.runs.get(request_id, 0) + count

    def all_runs(self):
        for name in list(self.proxies):
            if name[0] in "ed":
                self.count_runs(name)
        return self.runs


def start_fleet(folder, build, daemon=None, overload_control="off"):
    """Starts a complete fleet, whose nodes run `daemon` or else the tested build."""
    fleet = Fleet(folder, build)
    fleet.overload_control = overload_control
    if daemon:
        fleet.daemons = {f"n{i}": daemon for i in range(NODES)}
    try:
        fleet.write_configuration()
        for i in range(ENGINES):
            fleet.start_engine(f"e{i}")
        for i in range(SERVICES):
            fleet.start_service(f"d{i}")
        for i in range(NODES):
            fleet.start_node(f"n{i}")
    except Exception:
        fleet.stop_all()
        raise
    return fleet


def send_request(address, kind, model, request_id, key=CUSTOMERS["member-a"], body="body"):
    """Sends one request on a new connection. Returns status and body; status 0 means no answer."""
    headers = {"Host": "h.example", "Request-Id": request_id, "Deadline-Ms": "3000",
               "Authorization": f"Token {key}"}
    if model:
        headers.update({"Model": model, "Token-Count": "10,40", "Prompt-Prefix": "ab:6,cd:4"})
    request = urllib.request.Request(f"http://{address}/{kind}/x", data=body.encode(), headers=headers)
    try:
        with urllib.request.urlopen(request, timeout=4) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode(errors="replace")
    except (OSError, http.client.HTTPException):
        return 0, ""


class Client(threading.Thread):
    """A client that reuses its connection until the node closes it or it fails."""

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
            self.send(f"c{self.number}-{count}")
            count += 1

    def connect(self):
        self.node = f"n{self.random.randrange(NODES)}"
        self.process = self.fleet.processes[self.node]
        host, port = self.fleet.caller_address(self.node).split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=12)

    def send(self, request_id):
        kind = self.random.choice(["once", "safe", "stream", "stream", "added"])
        headers = {"Host": "h.example", "Request-Id": request_id,
                   "Deadline-Ms": str(DEADLINE_SECONDS * 1000),
                   "Authorization": f"Token {self.random.choice(list(CUSTOMERS.values()))}"}
        model = ""
        if kind == "stream":
            model = self.random.choice(MODELS) + self.random.choice(["", "/a1", "/a2"])
            headers.update({"Model": model, "Token-Count": "10,40", "Prompt-Prefix": "ab:6,cd:4"})
        result = {"id": request_id, "kind": kind, "model": model, "status": 0, "body": "",
                  "whole": False}
        try:
            if self.connection is None:
                self.connect()
            result.update(node=self.node, process=self.process.name)
            result["started"] = time.monotonic()
            self.connection.request("POST", f"/{kind}/x", body=b"body", headers=headers)
            result["sent"] = time.monotonic()
            answer = self.connection.getresponse()
            result["status"] = answer.status
            if answer.getheader("Server-Limit"):
                result["limited_instance"] = answer.getheader("Server-Stamp").rsplit(".", 1)[0]
            result["body"] = answer.read().decode()
            result["whole"] = True
            if answer.getheader("Connection", "").lower() == "close":
                self.disconnect()
        except (OSError, http.client.HTTPException) as error:
            result["error"] = repr(error)
            self.disconnect()
        result["ended"] = time.monotonic()
        result["ended_wall"] = time.time()
        self.results.append(result)

    def disconnect(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None
