"""Small stand-ins for the platform of the users' pages, for the scripts of the second review.

One process holds the store, the workers and the clients, so that their records share a clock. The
entry nodes are real processes, started with the command of the deploy file.
"""
import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
# A loopback address of its own for each run, so that runs side by side don't share ports.
HOST = f"127.{random.randrange(1, 255)}.{random.randrange(1, 255)}.{random.randrange(1, 255)}"
HEARTBEAT_S = 1.2
HISTORY_S = 20.0


used_ports = set()


def free_port():
    """Returns a free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12000, 30000)
        if port in used_ports:
            continue
        used_ports.add(port)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                continue


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", buffering=1)

    def now(self):
        return time.monotonic() - self.started

    def line(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")


async def read_head(reader):
    """Returns the first line and the headers (lower case), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def answer(status, body=b"", headers=(), reason="-"):
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def json_answer(status, value):
    return answer(status, json.dumps(value).encode(), [("Content-Type", "application/json")])


class Server:
    """An HTTP/1.1 server on a loopback port."""

    def __init__(self):
        self.port = free_port()
        self.address = f"{HOST}:{self.port}"
        self.server = None
        self.writers = set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, limit=1 << 20)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ", 2)
                if not await self.handle(method, target, head[1], body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            # Resets the connection.
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                                       struct.pack("ii", 1, 0))
            writer.transport.abort()

    async def handle(self, method, target, headers, body, reader, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.kinds = {}
        self.revision = 1
        self.changes = []   # (time, revision, kind, object, gone)
        self.oldest = 0
        self.changed = asyncio.Event()

    def note(self, kind, item, gone):
        self.changes.append((time.monotonic(), self.revision, kind, json.loads(json.dumps(item)), gone))
        while self.changes and time.monotonic() - self.changes[0][0] > HISTORY_S:
            self.oldest = self.changes.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Writes an object as the operator or a worker does."""
        objects = self.kinds.setdefault(kind, {})
        if name in objects and objects[name]["spec"] == spec:
            return
        self.revision += 1
        objects[name] = {"metadata": {"name": name, "revision": self.revision, "finalizers": [],
                                      "deleting": False}, "spec": spec, "status": {}}
        self.note(kind, objects[name], False)

    def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item:
            self.revision += 1
            item["metadata"]["revision"] = self.revision
            self.note(kind, item, True)

    async def handle(self, method, target, headers, body, reader, writer):
        parsed = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
        parts = [urllib.parse.unquote(part) for part in parsed.path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if method == "GET" and "watch" in query:
            reply = await self.watch(kind, int(query["watch"]), int(query.get("wait-ms", "0")))
        else:
            await asyncio.sleep(0.002)
            reply = self.call(method, kind, name, query, body)
        writer.write(reply)
        await writer.drain()
        return True

    async def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            if since < self.oldest:
                return json_answer(410, {})
            events = [{"object": item, "gone": gone} for _, revision, changed, item, gone
                      in self.changes if changed == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return json_answer(200, {"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def call(self, method, kind, name, query, body):
        objects = self.kinds.setdefault(kind, {})
        if method == "GET":
            if name:
                return json_answer(200, objects[name]) if name in objects else json_answer(404, {})
            items = [objects[key] for key in sorted(objects) if key > query.get("after", "")]
            return json_answer(200, {"items": items[:500], "more": len(items) > 500,
                                     "at": self.revision})
        value = json.loads(body or b"{}")
        metadata = value.get("metadata", {})
        wanted = metadata.get("revision", query.get("revision"))
        if method == "POST":
            name = metadata["name"]
            if name in objects:
                return json_answer(409, objects[name])
            self.put(kind, name, value.get("spec", {}))
            return json_answer(201, objects[name])
        if name not in objects:
            return json_answer(404, {})
        if wanted is not None and int(wanted) != objects[name]["metadata"]["revision"]:
            return json_answer(409, objects[name])
        if method == "PUT":
            self.put(kind, name, value.get("spec", {}))
            return json_answer(200, objects[name])
        if method == "DELETE":
            self.remove(kind, name)
            return json_answer(200, {})
        return json_answer(405, {})


class Worker(Server):
    """A worker with an entry in the store; `runs` holds one entry for each request it began."""

    def __init__(self, store, record, name, service, zone="zone-a", slots=8, born=None):
        super().__init__()
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.born = born
        self.sequence = 0
        self.state = "ready"
        self.active = 0
        self.arrivals = []    # (request id, time)
        self.intervals = []   # (request id, begun, ended) of runs
        self.task = None

    def entry(self):
        spec = {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "1.0", "slots": self.slots, "state": self.state, "cold-left-ms": 0,
                "sequence": self.sequence}
        if self.born is not None:
            spec["born"] = self.born
        return spec

    def write_entry(self):
        self.store.put("servers", self.name, self.entry())

    async def start(self):
        await self.listen()
        self.write_entry()
        self.task = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    async def crash(self):
        """The process ends without a word: its entry lapses after three heartbeats."""
        self.task.cancel()
        await self.close()

    def stamp(self, request_id):
        return f"{self.name}.{request_id}.{self.sequence}"

    def rejection(self, request_id, status):
        return answer(status, b"", [("Request-Id", request_id), ("Not-Executed", "1"),
                                    ("Instance-Id", self.name)])


class Engine(Worker):
    """A model worker, whose streams have `events` events, `gap_s` apart."""

    def __init__(self, *arguments, models=(), events=10, gap_s=0.1, first_s=0.05, **named):
        super().__init__(*arguments, **named)
        self.models = {model: set() for model in models}
        self.events = events
        self.gap_s = gap_s
        self.first_s = first_s
        self.busy = False
        self.life = 0
        self.weights_mb = 220000
        self.model_mb = 70000
        self.load_s = 4.0
        self.disk_load_s = 1.0
        self.disk = set(models)   # models of which the worker's disk has a copy
        self.overloads = []       # models that it was ordered to load beyond its memory

    def entry(self):
        return {**super().entry(), "stage": "both", "models": self.model_list()}

    def model_list(self):
        return [{"name": name, "version": 1, "adapters": sorted(adapters)}
                for name, adapters in sorted(self.models.items())]

    def report(self):
        report = {"stage": "both", "models": self.model_list(), "busy": self.busy,
                  "sequence": self.sequence, "queued": 0, "active": self.active, "kv-used": 0,
                  "kv-total": 100000, "handles": 0, "pending": [],
                  "available": {"in-memory": [], "on-disk": sorted(self.disk)}}
        if self.born is not None:
            report["born"] = self.born
        return report

    async def handle(self, method, target, headers, body, reader, writer):
        if method == "GET" and target == "/report":
            writer.write(json_answer(200, self.report()))
            await writer.drain()
            return True
        if method == "POST" and target == "/order":
            return await self.handle_order(headers, json.loads(body), writer)
        return await self.handle_stream(headers, reader, writer)

    async def handle_order(self, headers, order, writer):
        status = self.apply_order(headers, order)
        self.record.line("order", worker=self.name, operation=order.get("operation"),
                         model=order.get("model"), adapter=order.get("adapter", "-"),
                         expected=order.get("expected-revision"), holder=order.get("holder"),
                         token=order.get("fencing-token"), status=status, sequence=self.sequence)
        writer.write(json_answer(status, {}))
        await writer.drain()
        return True

    def apply_order(self, headers, order):
        """Carries an order out, as the pages have it; returns the status of its answer."""
        if headers.get("expect-instance", self.name) != self.name:
            return 421
        if "holder" not in order or "fencing-token" not in order or \
                order.get("operation") not in ("load", "unload"):
            return 400
        model, adapter = order["model"], order.get("adapter")
        load = order["operation"] == "load"
        held = model in self.models and (adapter is None or adapter in self.models[model])
        if held == load:
            return 200
        expected = order.get("expected-revision")
        if self.busy or (expected is not None and expected != self.sequence):
            return 409
        self.sequence += 1
        if adapter is not None:
            change = self.models[model].add if load else self.models[model].discard
            change(adapter)
        elif load:
            self.begin_load(model)
        else:
            del self.models[model]
        return 202

    def begin_load(self, model):
        if (len(self.models) + 1) * self.model_mb > self.weights_mb:
            self.overloads.append(model)
            self.record.line("overload", worker=self.name, model=model, holds=sorted(self.models),
                             weights_mb=self.weights_mb, model_mb=self.model_mb)
            return
        self.busy = True
        seconds = self.disk_load_s if model in self.disk else self.load_s

        def finish(life):
            if life == self.life:
                self.models[model] = set()
                self.disk.add(model)
                self.busy = False
                self.record.line("loaded", worker=self.name, model=model)
                self.write_entry()

        asyncio.get_running_loop().call_later(seconds, finish, self.life)

    async def restart(self):
        """Starts again under the same id and address: it holds nothing, and counts from 0."""
        self.life += 1
        self.models = {}
        self.sequence = 0
        self.busy = False
        self.active = 0
        self.born = int(time.time() * 1000)
        await self.start()

    async def handle_stream(self, headers, reader, writer):
        request_id = headers.get("request-id", "")
        model = headers.get("model", "").split("/")[0]
        self.arrivals.append((request_id, time.monotonic()))
        self.record.line("arrived", worker=self.name, id=request_id)
        if headers.get("expect-instance", self.name) != self.name or model not in self.models:
            writer.write(self.rejection(request_id, 421))
            await writer.drain()
            return True
        begun = time.monotonic()
        deadline = begun + float(headers.get("deadline-ms", "60000")) / 1000
        closed = asyncio.create_task(reader.read(1))
        self.active += 1
        last = int(headers.get("last-event-id") or 0)
        result = "complete"
        try:
            writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n"
                          f"Request-Id: {request_id}\r\nServer-Stamp: {self.stamp(request_id)}\r\n"
                          "Weight-Versions: 1\r\n\r\n").encode())
            pause = self.first_s
            for number in range(last + 1, self.events + 1):
                done, _ = await asyncio.wait({closed}, timeout=pause)
                if done:
                    result = "cancelled"
                    break
                if time.monotonic() > deadline:
                    result = "deadline"
                    break
                event = f"id: {number}\ndata: {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
                pause = self.gap_s
            if result == "complete":
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (ConnectionError, OSError):
            result = "cancelled"
        finally:
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            self.active -= 1
            self.runs_ended(request_id, begun, result)
        return result == "complete"

    def runs_ended(self, request_id, begun, result):
        self.intervals.append((request_id, begun, time.monotonic()))
        self.record.line("run", worker=self.name, id=request_id, result=result,
                         ms=int((time.monotonic() - begun) * 1000))


class Node:
    """An entry node, with the deploy file's command and the filled template as its settings."""

    def __init__(self, name, store_address, folder, zone="zone-a", first_start=True, bounds=None):
        self.name = name
        self.folder = pathlib.Path(folder)
        self.store_address = store_address
        self.zone = zone
        self.first_start = first_start
        self.ports = {key: free_port() for key in ("frontend", "ready", "peers", "gateway", "metrics")}
        self.bounds = bounds or {}
        self.process = None

    def address(self, key):
        return f"{HOST}:{self.ports[key]}"

    def settings(self):
        values = {"drain-ms": 2000, "grace-s": 8, "lease-ms": 3000, "fencing-enforced": False,
                  "ceiling-window-s": 5, "origin-overshoot": 1.1, "retry-budget-ratio": 0.2,
                  "budget-extra": 54, "budget-window-s": 10, "config-apply-ms": 2000, **self.bounds}
        return {
            "interface": "fleet", "overload_control": "auto",
            "node": {"name": self.name, "availability_zone": self.zone, "processor_share": 0.25,
                     "memory_mb": 260, "first_start": self.first_start},
            "listen": {"callers": self.address("frontend"), "readiness": self.address("ready"),
                       "peers": self.address("peers"), "metrics": self.address("metrics"),
                       "gateway": self.address("gateway")},
            "store": {"address": self.store_address},
            "bounds": {"drain": f"{values['drain-ms']}ms", "grace": f"{values['grace-s']}s",
                       "lease": f"{values['lease-ms']}ms", "checks_fences": values["fencing-enforced"],
                       "load_window": f"{values['ceiling-window-s']}s",
                       "load_overshoot": values["origin-overshoot"],
                       "retry_ratio": values["retry-budget-ratio"],
                       "retry_extra": values["budget-extra"],
                       "retry_window": f"{values['budget-window-s']}s",
                       "configuration": f"{values['config-apply-ms']}ms"}}

    def start(self):
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        log = open(self.folder / f"{self.name}.log", "ab")
        program = os.environ.get("RUDDERLOOM", str(ROOT / "target/src/rudderloom/app/rudderloom"))
        self.process = subprocess.Popen([program, "daemon", "--settings", str(path)],
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.first_start = False

    def send_signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def log_text(self):
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ports["ready"])
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def holds_lease(self):
        """True if the node's metrics say that it holds the lease."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ports["metrics"])
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            text = (await asyncio.wait_for(reader.read(1 << 20), 1)).decode()
            writer.close()
            return re.search(r"^rudderloom_lease_held\S* 1", text, re.MULTILINE) is not None
        except (OSError, asyncio.TimeoutError):
            return False


async def until(condition, seconds):
    """Waits until the coroutine function `condition` returns true."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return True
        await asyncio.sleep(0.05)
    return False


async def all_ready(nodes, seconds=15):
    for node in nodes:
        if not await until(node.ready, seconds):
            return False
    return True


async def find_holder(nodes, seconds=15):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for node in nodes:
            if await node.holds_lease():
                return node
        await asyncio.sleep(0.1)
    return None


def request_bytes(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1", "Host: app.example"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run(main, limit_s=115):
    """Runs `main(record, folder, trouble)`, which returns the exit status; 2 if it can't run."""
    case = pathlib.Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(case / "record.txt")
    nodes = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # ends the nodes as well

    async def bounded(folder):
        return await asyncio.wait_for(main(record, pathlib.Path(folder), trouble, nodes), limit_s)

    status = 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = asyncio.run(bounded(folder))
        except Exception as error:  # the case could not run
            record.line("failed_to_run", error=repr(error))
            print(f"could not run: {error!r}")
        finally:
            for node in nodes:
                node.kill()
            if os.environ.get("KEEP_LOGS"):
                for node in nodes:
                    (pathlib.Path(os.environ["KEEP_LOGS"]) / f"{node.name}.log").write_text(node.log_text())
    record.line("status", value=status)
    sys.exit(status)
