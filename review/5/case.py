"""Streams whose event ids rise in uneven steps are broken off in their middle.

Workers number the events of a stream by the tokens made so far, and an event holds one to three tokens.
Nothing fails: the workers are sound, nodes and store run. Six clients keep a connection each and ask for
three streams on it.
"""
import asyncio
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
CLIENTS, STREAMS, EVENTS = 6, 3, 12
ALLOWED_LOST = 3
GAP_S = 0.02


def events_of(request_id):
    """The ids and texts of a stream's events, the same at every worker."""
    tokens = random.Random(request_id)
    made = 0
    events = []
    for _ in range(EVENTS):
        made += tokens.choice((1, 2, 3)) if kit.TROUBLE else 1
        events.append((made, f"id: {made}\ndata: {request_id} up to token {made}\n\n"))
    return events


async def run_request(worker, request, writer):
    request_id = request.headers["request-id"]
    after = int(request.headers.get("last-event-id") or 0)
    worker.record.write(f"  {worker.name} runs {request_id} after event {after}")
    writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                  f"Server-Stamp: {worker.name}.{request_id}\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n").encode())
    for number, text in events_of(request_id):
        if number > after:
            await asyncio.sleep(GAP_S)
            writer.write(f"{len(text):x}\r\n{text}\r\n".encode())
            await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return b""


async def client(record, nodes, number):
    """The number of streams that were not whole."""
    lost = 0
    host, port = nodes.listen[NODES[number % len(NODES)]]["callers"].rsplit(":", 1)
    reader = writer = None
    for count in range(STREAMS):
        request_id = f"c{number}s{count}"
        expected = "".join(text for _, text in events_of(request_id)).encode()
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"POST /stream/x HTTP/1.1", f"Host: {kit.HOST}", f"Request-Id: {request_id}",
                     "Deadline-Ms: 5000", "Content-Length: 4"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\nbody")
            first, headers = await kit.read_head(reader)
            body = bytearray()
            whole = False
            while not whole:
                size = int((await reader.readline()).split(b";")[0], 16)
                body += await reader.readexactly(size)
                await reader.readline()
                whole = size == 0
            whole = bytes(body) == expected
            record.write(f"{request_id}: {first}, {'whole' if whole else 'not the worker’s events'}")
        except (OSError, TypeError, ValueError, asyncio.IncompleteReadError) as error:
            record.write(f"{request_id}: connection closed after {len(body)} of {len(expected)} bytes: "
                         f"{bytes(body[-40:])!r} ({type(error).__name__})")
            whole, writer = False, None
        lost += not whole
    return lost


async def play(record, folder):
    store = kit.Store()
    await store.listen()
    await store.put("config", "main", kit.configuration(
        3, [kit.route("/stream/", "stream", "writers", resumable=True)],
        [kit.plain_service("writers")]), create=True)
    for i in range(3):
        await kit.Worker(store, record, f"w{i}", "writers", run_request).start()
    nodes = kit.Nodes(folder, store, BOUNDS)
    try:
        for name in NODES:
            nodes.start(name)
        if not await nodes.all_ready(15):
            return kit.NOT_RUN
        lost = sum(await asyncio.gather(*[client(record, nodes, i) for i in range(CLIENTS)]))
        await asyncio.sleep(0.5)
        for log in sorted(pathlib.Path(folder).glob("n*.log")):
            for line in log.read_text(errors="replace").splitlines():
                if "attempt_failed" in line or "refused" in line:
                    record.write(f"{log.name}: {line[line.find('event='):]}")
    finally:
        nodes.end()
    record.write(f"streams broken off: {lost} of {CLIENTS * STREAMS}")
    return kit.BROKEN if lost > ALLOWED_LOST else kit.HELD


if __name__ == "__main__":
    kit.main(CASE, play)
