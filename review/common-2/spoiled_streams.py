"""Streams of workers of which one spoils the id of an event in some of its answers.

Each event names its piece also in its data, so that a lost piece shows whatever its id is.
"""
import asyncio
import time

from platform_standin import (HOST, Engine, Node, Store, all_ready, find_holder, read_body, read_head,
                              request_bytes)

NODES = 3
WORKERS = 3
EVENTS = 12
PER_S = 5
SECONDS = 40
SPOILED_SHARE = 0.05  # of the answers of one worker in three


class SpoilingEngine(Engine):
    """Sends `batch` events at once; a faulty one spoils the id of piece `spoiled_piece`."""

    faulty = False
    batch = 1
    spoiled_piece = 0
    spoiled_id = 0
    answers = 0

    def is_spoiled(self):
        self.answers += 1
        return self.faulty and self.answers % round(1 / SPOILED_SHARE) == 0

    async def handle_stream(self, headers, reader, writer):
        request_id = headers.get("request-id", "")
        model = headers.get("model", "").split("/")[0]
        if headers.get("expect-instance", self.name) != self.name or model not in self.models:
            writer.write(self.rejection(request_id, 421))
            await writer.drain()
            return True
        last = int(headers.get("last-event-id") or 0)
        spoiled = last == 0 and self.is_spoiled()
        self.record.line("run", worker=self.name, id=request_id, after=last, spoiled=spoiled)
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n"
                      f"Request-Id: {request_id}\r\nServer-Stamp: {self.stamp(request_id)}\r\n"
                      "Weight-Versions: 1\r\n\r\n").encode())
        numbers = list(range(last + 1, EVENTS + 1))
        sent = 0
        try:
            while numbers:
                await asyncio.sleep(0.05)
                batch, numbers = numbers[:self.batch], numbers[self.batch:]
                data = b""
                for number in batch:
                    is_spoiled = spoiled and number == self.spoiled_piece
                    shown = self.spoiled_id if is_spoiled else number
                    data += f"id: {shown}\ndata: piece {number} of {request_id}\n\n".encode()
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
                sent = batch[-1]
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.record.line("run_ended", worker=self.name, id=request_id, sent_up_to=sent)
        return True


def configuration():
    route = {"name": "digest", "host": "app.example", "path-prefix": "/digest/", "service": "pool",
             "route-kind": "stream", "timeout-ms": 5000, "latency-goal-ms": 800, "max-attempts": 2,
             "priority": 1, "is-sticky": True, "resumable": True, "target-gap-ms": 400}
    model = {"name": "m1", "weights-mb": 70000.0, "load-time-s": 4.0, "adapters": 2,
             "adapter-size-mb": 200.0}
    engine = {"slots": 64, "kv-capacity": 257123, "weights-mb": 220000.0, "adapter-slots": 8,
              "loads-per-s": 2.1, "models": [model]}
    service = {"name": "pool", "health-path": "/healthz", "max-conns": 360, "engine": engine}
    return {"version": 1, "routes": [route], "services": [service],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 5000, "idle-timeout-ms": 30000}}


async def client(record, node, request_id, results):
    """Reads one stream, whose framing tells whether it is complete."""
    try:
        reader, writer = await asyncio.open_connection(HOST, node.ports["frontend"])
        headers = {"Request-Id": request_id, "Model": "m1", "Token-Count": "100,50",
                   "Prompt-Prefix": f"5c1e07a2:60,{len(results) + 4096:x}:40",
                   "Deadline-Ms": "5000"}
        writer.write(request_bytes("POST", "/digest/x", headers, b"prompt"))
        await writer.drain()
        line, answered = await asyncio.wait_for(read_head(reader), 6)
        body = (await asyncio.wait_for(read_body(reader, answered), 6)).decode()
        writer.close()
    except (OSError, TypeError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record.line("not_complete", id=request_id, error=type(error).__name__)
        return
    pieces = [int(text.split(" ")[2]) for text in body.split("\n") if text.startswith("data: ")]
    missing = [number for number in range(1, EVENTS + 1) if number not in pieces]
    twice = sorted({number for number in pieces if pieces.count(number) > 1})
    status = line.split(" ")[1]
    record.line("complete", id=request_id, status=status, pieces=len(pieces), missing=missing,
                twice=twice)
    if status == "200":
        results.append((request_id, missing, twice))


async def play(record, folder, nodes, name, faulty, batch, spoiled_piece, spoiled_id):
    """Returns 1 if a stream that ended as complete lacks a piece or has one twice."""
    store = Store(record)
    await store.listen()
    store.put("config", "main", configuration())
    workers = [SpoilingEngine(store, record, f"{name}-i-{n}", "pool", slots=64, models=["m1"])
               for n in range(WORKERS)]
    for worker in workers:
        worker.batch = batch
        worker.spoiled_piece = spoiled_piece
        worker.spoiled_id = spoiled_id
        await worker.start()
    workers[0].faulty = faulty
    own = [Node(f"{name}-edge-{n}", store.address, folder) for n in range(NODES)]
    nodes += own
    for node in own:
        node.start()
    if not await all_ready(own) or await find_holder(own) is None:
        return 2
    await asyncio.sleep(2)
    results = []
    tasks = []
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        count = len(tasks)
        tasks.append(asyncio.create_task(
            client(record, own[count % NODES], f"{name}-{count}", results)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    broken = [(request_id, missing, twice) for request_id, missing, twice in results
              if missing or twice]
    record.line("result", play=name, complete=len(results), broken=broken)
    print(f"{name}: {len(results)} streams ended as complete; of these (id, pieces missing, pieces "
          f"twice): {broken}")
    if not results:
        return 2
    return 1 if broken else 0
