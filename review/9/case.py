"""Clients that take up streams leave while the lease holder is dead; see claim.txt."""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-2"))
from platform_standin import (HOST, Engine, Node, Store, all_ready, find_holder, request_bytes,  # noqa: E402
                              run)

CLIENTS = 80
LEAVING_SHARE = 0.3    # of the clients, as `give_up` has it at most
LEAVE_AFTER_S = 0.4   # half of the route's latency goal, as `give_up` has it
LATE_S = 0.5
STREAM_EVENTS = 40    # 4 s of work
MOST_LATE_ARRIVALS = 10  # "more than a few"
NODES = 4


def configuration():
    route = {"name": "digest", "host": "app.example", "path-prefix": "/digest/", "service": "pool",
             "route-kind": "stream", "timeout-ms": 12000, "latency-goal-ms": 800, "max-attempts": 2,
             "priority": 1, "is-sticky": True, "resumable": True, "target-gap-ms": 400}
    engine = {"slots": 64, "kv-capacity": 257123, "weights-mb": 220000.0, "adapter-slots": 8,
              "loads-per-s": 2.1, "models": [{"name": "m1", "weights-mb": 70000.0, "load-time-s": 4.0,
                                              "adapters": 2, "adapter-size-mb": 200.0}]}
    return {"version": 1, "routes": [route],
            "services": [{"name": "pool", "health-path": "/healthz", "max-conns": 360, "engine": engine}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 5000, "idle-timeout-ms": 30000}}


async def open_stream(record, node, request_id, last_event_id):
    """Sends a request for a stream; returns its connection."""
    reader, writer = await asyncio.open_connection(HOST, node.ports["frontend"])
    headers = {"Request-Id": request_id, "Model": "m1", "Token-Count": "100,200",
               "Prompt-Prefix": f"5c1e07a2:60,{hash(request_id) & 0xffffff:x}:40",
               "Deadline-Ms": "12000"}
    if last_event_id:
        headers["Last-Event-Id"] = str(last_event_id)
    writer.write(request_bytes("POST", "/digest/x", headers, b"prompt"))
    await writer.drain()
    record.line("sent", id=request_id, node=node.name, last=last_event_id)
    return reader, writer


async def read_events(reader, count):
    """Reads until the event with the number `count`; returns the last number seen."""
    text = ""
    last = 0
    while last < count:
        piece = await reader.read(4096)
        if not piece:
            break
        text += piece.decode("latin-1")
        last = max([last] + [int(line[4:]) for line in text.split("\n")[:-1]
                             if line.startswith("id: ")])
    return last


async def broken_client(record, holder, others, index, broken, left):
    """Reads a stream at the holder; when it breaks, takes it up at another node and soon leaves."""
    reader, writer = await open_stream(record, holder, f"first-{index}", 0)
    last = await read_events(reader, 3)
    await broken.wait()
    writer.close()
    request_id = f"again-{index}"
    reader, writer = await open_stream(record, others[index % len(others)], request_id, last)
    if index % 10 >= 10 * LEAVING_SHARE:
        await read_events(reader, STREAM_EVENTS)
        record.line("read", id=request_id)
    else:
        await asyncio.sleep(LEAVE_AFTER_S)
        left[request_id] = time.monotonic()
        record.line("left", id=request_id)
    writer.close()


async def main(record, folder, trouble, nodes):
    store = Store(record)
    await store.listen()
    store.put("config", "main", configuration())
    workers = [Engine(store, record, f"i-{n}", "pool", slots=64, models=["m1"],
                      events=STREAM_EVENTS, gap_s=0.1, first_s=0.5) for n in range(3)]
    for worker in workers:
        await worker.start()
    nodes += [Node(f"edge-{n}", store.address, folder) for n in range(NODES)]
    for node in nodes:
        node.start()
    if not await all_ready(nodes):
        return 2
    holder = await find_holder(nodes)
    if holder is None:
        return 2
    await asyncio.sleep(4)   # all machines are in touch
    others = [node for node in nodes if node is not holder]
    record.line("holder", node=holder.name)
    broken = asyncio.Event()
    left = {}
    clients = [asyncio.create_task(broken_client(record, holder, others, n, broken, left))
               for n in range(CLIENTS)]
    await asyncio.sleep(1.0)
    if trouble:
        record.line("kill", node=holder.name)
        holder.send_signal(signal.SIGKILL)
    broken.set()
    await asyncio.gather(*clients)
    await asyncio.sleep(4)
    late = 0
    working = 0
    for worker in workers:
        for request_id, at in worker.arrivals:
            if request_id in left and at - left[request_id] > LATE_S:
                late += 1
        for request_id, begun, ended in worker.intervals:
            if request_id in left and ended - left[request_id] > LATE_S:
                working += 1
    record.line("result", left=len(left), arrived_late=late, worked_on=working)
    print(f"{len(left)} clients left; {late} requests reached a worker more than {LATE_S} s later; "
          f"workers worked on {working} more than {LATE_S} s after the client had left")
    return 1 if late > MOST_LATE_ARRIVALS or working > len(left) / 4 else 0


run(main)
