"""After all processes were killed at once, no stream goes on that began while one software version served.

24 streams begin at three workers of version v1. All nodes are killed; a release starts the first workers of
version v1.1, and the nodes come back. From `contact-ms` after their start on, when they are in touch again,
the clients take their streams up (`Last-Event-Id`, `Resumes`), and new streams begin beside them.
"""
import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))
import kit  # noqa: E402

BOUNDS = {"drain": "2s", "grace": "8s", "lease": "3s", "checks_fences": False, "load_window": "5s",
          "load_overshoot": 1.1, "retry_ratio": 0.2, "retry_extra": 54, "retry_window": "10s",
          "configuration": "2s"}
NODES = ("n0", "n1", "n2")
STREAMS, EVENTS, GAP_S = 24, 58, 0.25
CALM_S, DOWN_S, CONTACT_S = 2.0, 1.2, 3.0
DEADLINE_MS = 15_000


async def run_request(worker, request, writer):
    request_id = request.headers["request-id"]
    after = int(request.headers.get("last-event-id") or 0)
    writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                  f"Server-Stamp: {worker.name}.{request_id}\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n").encode())
    for number in range(after + 1, EVENTS + 1):
        text = f"id: {number}\ndata: {worker.extra['version']}\n\n"
        writer.write(f"{len(text):x}\r\n{text}\r\n".encode())
        await writer.drain()
        await asyncio.sleep(GAP_S)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return b""


class Stream:
    """What a client has of one stream, over its attempts."""

    def __init__(self, record, began_as):
        self.record, self.began_as = record, began_as
        self.last, self.versions = 0, set()

    async def read(self, address, attempt, events, headers):
        """One attempt, which ends after so many events; true if it brought any."""
        fields = {"Host": kit.HOST, "Request-Id": attempt, "Deadline-Ms": str(DEADLINE_MS),
                  "Content-Length": "4", **headers}
        got = 0
        status = "no answer"
        writer = None
        try:
            host, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(("POST /stream/x HTTP/1.1\r\n" + "".join(
                f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\nbody").encode())
            head = await kit.read_head(reader)
            status = head[0] if head else status
            while head and "200" in head[0] and got < events:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = (await reader.readexactly(size)).decode()
                await reader.readline()
                for line in chunk.splitlines():
                    if line.startswith("id: "):
                        self.last = int(line[4:])
                        got += 1
                    elif line.startswith("data: "):
                        self.versions.add(line[6:])
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer is not None:
                writer.close()
        self.record.write(f"{attempt} (began as {self.began_as}): {status}, {got} events, the last {self.last}")
        return got > 0

    async def take_up(self, address):
        return await self.read(address, f"{self.began_as}-again", 3,
                               {"Last-Event-Id": self.last, "Resumes": self.began_as})


async def play(record, folder):
    store = kit.Store()
    await store.listen()
    await store.put("config", "main", kit.configuration(
        3, [kit.route("/stream/", "stream", "writers", resumable=True, **{"timeout-ms": DEADLINE_MS})],
        [kit.plain_service("writers")]), create=True)
    for i in range(3):
        await kit.Worker(store, record, f"w{i}", "writers", run_request, {"version": "v1"}).start()
    nodes = kit.Nodes(folder, store, BOUNDS)

    def address(number):
        return nodes.listen[NODES[number % len(NODES)]]["callers"]

    try:
        for name in NODES:
            nodes.start(name)
        if not await nodes.all_ready(15):
            return kit.NOT_RUN
        await asyncio.sleep(CONTACT_S)
        streams = [Stream(record, f"s{i}") for i in range(STREAMS)]
        events = EVENTS if kit.TROUBLE else int(CALM_S / GAP_S)
        reading = [asyncio.create_task(stream.read(address(i), f"s{i}", events, {}))
                   for i, stream in enumerate(streams)]
        await asyncio.sleep(CALM_S)
        if kit.TROUBLE:
            record.write("all nodes are killed")
            for name in NODES:
                nodes.kill(name)
        if not all(await asyncio.gather(*reading)):
            return kit.NOT_RUN
        for i in range(2):
            await kit.Worker(store, record, f"w1{i}", "writers", run_request,
                             {"version": "v1.1"}).start()
        record.write("two workers of v1.1 have started, those of v1 serve on")
        await asyncio.sleep(DOWN_S)
        if kit.TROUBLE:
            for name in NODES:
                nodes.start(name, first=False)
        if not await nodes.all_ready(10):
            return kit.NOT_RUN
        await asyncio.sleep(CONTACT_S + 0.5)
        record.write("clients take their streams up, and new ones begin")
        new = [Stream(record, f"t{i}") for i in range(STREAMS)]
        tasks = [stream.take_up(address(i + 1)) for i, stream in enumerate(streams)]
        tasks += [stream.read(address(i), f"t{i}", 3, {}) for i, stream in enumerate(new)]
        results = await asyncio.gather(*tasks)
    finally:
        nodes.end()
    go_on, begin = sum(results[:STREAMS]) / STREAMS, sum(results[STREAMS:]) / STREAMS
    mixed = [stream.began_as for stream in streams if len(stream.versions) > 1]
    record.write(f"of {STREAMS} streams taken up {go_on:.2f} go on, of {STREAMS} new ones {begin:.2f} begin; "
                 f"at two versions: {mixed}")
    return kit.BROKEN if go_on < begin / 2 else kit.HELD


if __name__ == "__main__":
    kit.main(CASE, play)
