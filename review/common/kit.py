"""Small stand-ins of the users' platform on loopback, written from its pages: the metadata store and
plain workers, and the start of entry nodes with the command of the deploy file.

All stand-ins of a script run in one asyncio loop in this process; entry nodes are processes.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "h.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
START = time.monotonic()
MAX_S = 115
STARTED = []  # all processes of this script
GIVEN = set()  # ports of nodes


def now():
    return time.monotonic() - START


class Record:
    """The file that tells what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.write(f"trouble={'yes' if TROUBLE else 'no'}")

    def write(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body


async def read_head(reader):
    """Returns the first line and the headers, in lower case; None at the end of the connection."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return None
    headers = {}
    while True:
        field = await reader.readline()
        if field in (b"\r\n", b"\n"):
            return line.decode().strip(), headers
        if not field.endswith(b"\n"):
            return None
        name, value = field.decode("latin-1").split(":", 1)
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
            body += chunk
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """An HTTP server on a free port; `handle(request, writer)` returns the answer or None to close."""

    def __init__(self):
        self.address = None
        self.server = None
        self.connections = set()

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                reply = await self.handle(Request(method, target, head[1], body), writer)
                if reply is None:
                    break
                if reply:
                    writer.write(reply)
                    await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


class Store(Server):
    """The platform's metadata store: linearizable, one revision counter, watches, conditions."""

    def __init__(self):
        super().__init__()
        self.kinds = {}
        self.revision = 1
        self.changes = []  # (revision, kind, object, gone)
        self.beats = {}    # name of a server -> last write
        self.changed = asyncio.Condition()

    async def expire(self, silence):
        """Removes entries of workers after a silence, as the store does after three heartbeats."""
        while True:
            await asyncio.sleep(0.1)
            for name in [n for n, at in self.beats.items() if now() - at > silence]:
                del self.beats[name]
                await self.remove("servers", name)

    async def put(self, kind, name, spec, revision=None, create=False, finalizers=()):
        """Returns the status and the object."""
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if create and old:
            return 409, old
        if not create and not old:
            return 404, {}
        if not create and revision is not None and revision != old["metadata"]["revision"]:
            return 409, old
        if old and old["spec"] == spec:
            return 200, old
        self.revision += 1
        made = old["metadata"]["made"] if old else self.revision
        objects[name] = {"metadata": {"name": name, "revision": self.revision, "made": made,
                                      "finalizers": list(finalizers), "deleting": False},
                         "spec": spec, "status": None}
        await self._changed(kind, objects[name], False)
        return (201 if create else 200), objects[name]

    async def remove(self, kind, name):
        old = self.kinds.get(kind, {}).pop(name, None)
        if old:
            self.revision += 1
            await self._changed(kind, old, True)

    async def beat(self, name, spec):
        self.beats[name] = now()
        known = name in self.kinds.get("servers", {})
        await self.put("servers", name, spec, create=not known)

    async def _changed(self, kind, item, gone):
        self.changes.append((self.revision, kind, item, gone))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request, writer):
        path, _, query = request.target.partition("?")
        query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        parts = path.strip("/").split("/")
        kind, name = parts[1], "/".join(parts[2:])
        if request.method == "GET" and "watch" in query:
            status, body = await self._watch(kind, int(query["watch"]),
                                             int(query.get("wait-ms", "0")) / 1000)
        elif request.method == "GET" and name:
            found = self.kinds.get(kind, {}).get(name)
            status, body = (200, found) if found else (404, {})
        elif request.method == "GET":
            after = query.get("after", "")
            items = [o for n, o in sorted(self.kinds.get(kind, {}).items()) if n > after]
            status, body = 200, {"items": items[:500], "more": len(items) > 500, "at": self.revision}
        elif request.method == "DELETE":
            await self.remove(kind, name)
            status, body = 200, {}
        else:
            sent = json.loads(request.body)
            metadata = sent.get("metadata", {})
            status, body = await self.put(kind, name or metadata.get("name"), sent.get("spec"),
                                          metadata.get("revision"), request.method == "POST",
                                          metadata.get("finalizers", ()))
        return answer(status, json.dumps(body).encode(), [("Content-Type", "application/json")])

    async def _watch(self, kind, since, wait):
        until = now() + wait
        while True:
            events = [{"object": item, "gone": gone} for revision, of, item, gone in self.changes
                      if of == kind and revision > since]
            if events or now() >= until:
                return 200, {"events": events, "at": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
                except asyncio.TimeoutError:
                    pass


class Worker(Server):
    """A worker of a service; `run(request)` gives the body of the answer to a request that runs."""

    HEARTBEAT = 1.2

    def __init__(self, store, record, name, service, run, extra=None):
        super().__init__()
        self.store, self.record, self.name, self.service = store, record, name, service
        self.run, self.extra = run, extra or {}
        self.state = "ready"
        self.runs = []  # ids of requests, in the order in which they began
        self.task = None

    async def start(self):
        await self.listen()
        await self._beat()
        self.task = asyncio.create_task(self._beats())

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": "zone-a", "version": "v1",
                "slots": 64, "state": self.state, "cold-left-ms": 0, "sequence": 0, **self.extra}

    async def _beat(self):
        await self.store.beat(self.name, self.entry())

    async def _beats(self):
        while True:
            await asyncio.sleep(self.HEARTBEAT)
            await self._beat()

    async def handle(self, request, writer):
        if request.target == "/healthz":
            return answer(200, b"", [("Instance-Id", self.name)])
        expected = request.headers.get("expect-instance")
        if expected and expected != self.name:
            return answer(421, b"", [("Instance-Id", self.name)])
        request_id = request.headers.get("request-id", "")
        if not request_id:
            return answer(400, b"", [("Not-Executed", "1")])
        self.runs.append(request_id)
        self.record.write(f"run {self.name} {request_id}")
        return await self.run(self, request, writer)

    def signed(self, request, status, body):
        request_id = request.headers["request-id"]
        return answer(status, body, [("Request-Id", request_id),
                                     ("Server-Stamp", f"{self.name}.{request_id}"),
                                     ("Content-Type", "application/octet-stream")])


def free_port():
    """A port that nobody listens at, below those that the system gives to connections."""
    while True:
        port = random.randint(10_000, 30_000)
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        if port not in GIVEN:
            GIVEN.add(port)
            return port


class Nodes:
    """Entry nodes as processes, with the command of the deploy file."""

    def __init__(self, folder, store, bounds, memory_mb=260, zone="zone-a"):
        self.folder, self.store, self.bounds = pathlib.Path(folder), store, bounds
        self.memory_mb, self.zone = memory_mb, zone
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.run = deploy["roles"]["entry"]["run"].split(" ")
        self.processes = {}
        self.listen = {}

    def start(self, name, first=True):
        """Starts a node; one that is started again keeps its addresses, as on its machine."""
        if name not in self.listen:
            keys = ("callers", "readiness", "peers", "metrics", "gateway")
            self.listen[name] = {key: f"127.0.0.1:{free_port()}" for key in keys}
        settings = {"interface": "fleet", "overload_control": "auto",
                    "node": {"name": name, "availability_zone": self.zone, "processor_share": 0.25,
                             "memory_mb": self.memory_mb, "first_start": first},
                    "listen": self.listen[name], "store": {"address": self.store.address},
                    "bounds": self.bounds}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        command = [str(path) if word.startswith("/etc/") else word for word in self.run]
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
        log.close()
        STARTED.append(self.processes[name])

    def kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    async def ready(self, name):
        try:
            status, _, _ = await asyncio.wait_for(
                call(self.listen[name]["readiness"], "GET", "/readyz", {}), 1.0)
            return status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    async def all_ready(self, seconds):
        until = now() + seconds
        while now() < until:
            if all([await self.ready(name) for name in self.processes]):
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


async def call(address, method, target, headers, body=b""):
    """One request on a new connection: status (0: none), headers and body."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        return await ask(reader, writer, method, target, headers, body)
    finally:
        writer.close()


async def ask(reader, writer, method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()
    head = await read_head(reader)
    if head is None:
        return 0, {}, b""
    return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])


def route(prefix, kind, service, **more):
    return {"name": "r" + prefix.strip("/"), "host": HOST, "path-prefix": prefix, "route-kind": kind,
            "timeout-ms": 5000, "latency-goal-ms": 500, "priority": 1, "service": service,
            "max-attempts": 2, "is-sticky": False, "resumable": False, "target-gap-ms": 400, **more}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}


def plain_service(name):
    return {"name": name, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": False}


def main(case_folder, play):
    """Runs `play(record, folder)`, which returns the exit status, and ends within MAX_S."""
    record = Record(case_folder)
    folder = tempfile.mkdtemp(prefix="review-")

    def end(status):
        """Ends at once: open connections of the stand-ins are of no interest any more."""
        for process in STARTED:
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(folder, ignore_errors=True)
        last = {HELD: "the rule was kept", BROKEN: "the rule was broken",
                NOT_RUN: "the case could not run"}[status]
        record.write(last)
        print(last, flush=True)
        os._exit(status)

    async def run():
        try:
            return await asyncio.wait_for(play(record, folder), MAX_S)
        except Exception as error:  # the case could not run
            record.write(f"could not run: {error!r}")
            for log in sorted(pathlib.Path(folder).glob("*.log")):
                record.write(f"{log.name}: {log.read_text(errors='replace')[-1500:]}")
            return NOT_RUN

    async def run_and_end():
        end(await run())

    late = threading.Timer(MAX_S + 2, end, [NOT_RUN])
    late.daemon = True
    late.start()
    asyncio.run(run_and_end())
