"""An entry node crashes, or mixes the bytes of two requests, when a worker rejects a long request early.

Clients keep connections and send orders of 2 MB. Half of the workers reject 2 in 100 of them before they
are in, and go on reading, for 5.5 s at a time with pauses of a second. The node then drops its connection to the worker while it still writes. The
rule is judged by the requests that were sent on a kept connection, ran at one of the workers that reject
nothing, and whose connection was closed without an answer.
"""
import asyncio
import hashlib
import os
import pathlib
import random
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))
import kit  # noqa: E402

BOUNDS = {"drain": "2s", "grace": "8s", "lease": "3s", "checks_fences": False, "load_window": "5s",
          "load_overshoot": 1.1, "retry_ratio": 0.2, "retry_extra": 54, "retry_window": "10s",
          "configuration": "2s"}
NODES = ("n0", "n1", "n2")
WORKERS, CLIENTS, PLAY_S = 4, 18, float(os.environ.get("PLAY_S", "70"))
GARBLE_SHARE, GARBLE_X, GARBLE_S, PAUSE_S = 0.5, 0.02, 5.5, 1.0
BODY_BYTES = 2_000_000
WORK_S = 0.03
ALLOWED_LOST = 3
SEED = os.environ.get("SEED", "1")


def body_of(request_id):
    """2 MB that no other request has."""
    block = hashlib.sha256(request_id.encode()).digest() * 32
    return (block * (BODY_BYTES // len(block) + 1))[:BODY_BYTES]


class Orders(kit.Worker):
    """Half of these workers reject some requests as soon as their head is in."""

    def __init__(self, store, record, name, garbles):
        super().__init__(store, record, name, "orders", None)
        self.garbles, self.random = garbles, random.Random(f"{SEED}-{name}")
        self.ran = {}       # id -> digest of the body that ran
        self.rejected = set()
        self.spoilt = []    # what reached this worker and is no request

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await kit.read_head(reader)
                if head is None:
                    break
                await self.answer_one(head, reader, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
            if isinstance(error, ValueError):
                self.spoilt.append(repr(error)[:80])
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer_one(self, head, reader, writer):
        method, target, _ = head[0].split(" ", 2)
        headers = head[1]
        if target == "/report":
            writer.write(kit.answer(404))
            return
        request_id = headers["request-id"]
        if headers.get("expect-instance") != self.name:
            await kit.read_body(reader, headers)
            writer.write(kit.answer(421, b"", [("Instance-Id", self.name)]))
            return
        garbled_now = kit.now() % (GARBLE_S + PAUSE_S) >= PAUSE_S
        if kit.TROUBLE and self.garbles and garbled_now and self.random.random() < GARBLE_X:
            self.rejected.add(request_id)
            self.record.write(f"{self.name} rejects {request_id} before it is in")
            writer.write(kit.answer(503, b"", [("Not-Executed", "1"), ("Request-Id", request_id)]))
            await writer.drain()
            await kit.read_body(reader, headers)
            return
        body = await kit.read_body(reader, headers)
        self.record.write(f"{self.name} runs {request_id}")
        self.ran[request_id] = hashlib.sha256(body).hexdigest()
        await asyncio.sleep(WORK_S)
        writer.write(self.signed(kit.Request(method, target, headers, body), 200,
                                 request_id.encode()))
        await writer.drain()


async def client(record, nodes, number, state, until):
    writer = None
    count = 0
    name = NODES[number % len(NODES)]
    while kit.now() < until:
        request_id = f"c{number}-{count}"
        count += 1
        body = body_of(request_id)
        state["sent"][request_id] = hashlib.sha256(body).hexdigest()
        status = 0
        kept = writer is not None
        try:
            if writer is None:
                host, port = nodes.listen[name]["callers"].rsplit(":", 1)
                reader, writer = await asyncio.open_connection(host, int(port))
            status, headers, answer = await asyncio.wait_for(
                kit.ask(reader, writer, "POST", "/order/x",
                        {"Request-Id": request_id, "Deadline-Ms": "5000"}, body), 8)
            if status == 200 and answer != request_id.encode():
                state["foreign"].append(request_id)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError,
                AttributeError) as error:
            record.write(f"{request_id}: no answer of {name}: {type(error).__name__}")
        if status == 0:
            state["unanswered"].append(request_id)
            if kept:
                state["kept"].add(request_id)
            if writer is not None:
                writer.close()
            writer = None
            await asyncio.sleep(0.2)
        state["statuses"][status] = state["statuses"].get(status, 0) + 1
    if writer is not None:
        writer.close()


async def watch(record, nodes, state):
    """Starts a process again that has ended, as the platform does."""
    while True:
        await asyncio.sleep(0.1)
        for name, process in list(nodes.processes.items()):
            if process.poll() is not None:
                record.write(f"{name} ended by itself with status {process.returncode}")
                state["ended"].append((name, process.returncode))
                nodes.start(name, first=False)


async def play(record, folder):
    store = kit.Store()
    await store.listen()
    await store.put("config", "main", kit.configuration(
        3, [kit.route("/order/", "unsafe", "orders")], [kit.plain_service("orders")]), create=True)
    workers = [Orders(store, record, f"w{i}", i < WORKERS * GARBLE_SHARE) for i in range(WORKERS)]
    for worker in workers:
        await worker.start()
    nodes = kit.Nodes(folder, store, BOUNDS)
    state = {"sent": {}, "statuses": {}, "unanswered": [], "foreign": [], "ended": [], "kept": set()}
    tasks = []
    try:
        for name in NODES:
            nodes.start(name)
        if not await nodes.all_ready(15):
            return kit.NOT_RUN
        tasks.append(asyncio.create_task(watch(record, nodes, state)))
        until = kit.now() + PLAY_S
        await asyncio.gather(*[client(record, nodes, i, state, until) for i in range(CLIENTS)])
    finally:
        for task in tasks:
            task.cancel()
        nodes.end()
    ran, changed, twice = {}, [], []
    for worker in workers:
        for request_id, digest in worker.ran.items():
            if request_id in ran:
                twice.append(request_id)
            ran[request_id] = worker.name
            if digest != state["sent"].get(request_id):
                changed.append(request_id)
    sound = {worker.name for worker in workers if not worker.garbles}
    lost = [i for i in state["unanswered"] if i in state["kept"] and ran.get(i) in sound]
    record.write(f"sent {len(state['sent'])}, statuses {state['statuses']}, rejected early "
                 f"{sum(len(w.rejected) for w in workers)}")
    record.write(f"nodes that ended by themselves: {state['ended']}")
    record.write(f"on a kept connection, run by a sound worker and never answered: {len(lost)} "
                 f"{lost[:10]}")
    record.write(f"never answered in all: {len(state['unanswered'])}")
    record.write(f"run with a body that no client sent: {len(changed)} {changed[:10]}")
    record.write(f"run twice: {twice}; foreign answers: {state['foreign']}; not a request: "
                 f"{[w.spoilt for w in workers]}")
    return kit.BROKEN if len(lost) > ALLOWED_LOST else kit.HELD


if __name__ == "__main__":
    kit.main(CASE, play)
