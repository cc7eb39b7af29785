"""Callers of a node that is being stopped, which check that each call the node received is answered."""
import dataclasses
import http.client
import json
import random
import select
import threading

CALL_TIMEOUT_SECONDS = 20
KINDS = ("completion", "stream", "repeatable call", "call with key", "call without key")


@dataclasses.dataclass
class Call:
    """One call and how it ended for its caller."""
    id: str
    kind: str
    kept: bool
    # "answered", "unanswered", "cut" within the answer, or "unread": reset before the node read it.
    outcome: str = "unread"
    status: int = 0
    ran: str = ""
    foreign: bool = False


class StopCallers:
    """Calls one node in a closed loop until its connections are refused."""

    def __init__(self, address, name, seed, callers, models):
        self.address = address
        self.models = models
        self.calls = []
        self.gone = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(f"{name}-{i}", f"{seed}-{name}-{i}"),
                                         daemon=True) for i in range(callers)]
        for thread in self.threads:
            thread.start()

    def finish(self):
        """Waits for the calls under way once the process has ended."""
        self.gone.set()
        for thread in self.threads:
            thread.join()

    def _run(self, name, seed):
        choices = random.Random(seed)
        kept = choices.random() < 0.5
        connection = http.client.HTTPConnection(self.address, timeout=CALL_TIMEOUT_SECONDS)
        number = 0
        while not self.gone.is_set():
            call = Call(f"{name}-{number}", choices.choice(KINDS), kept)
            number += 1
            request = self._request(call, choices)
            if not kept or is_closed(connection):
                connection.close()
            try:
                if connection.sock is None:
                    connection.connect()
                connection.request(*request)
            except OSError:
                connection.close()
                self.gone.wait(0.02)
                continue
            self.calls.append(call)
            if not receive(connection, call):
                connection.close()

    def _request(self, call, choices):
        headers = {"X-Request-Id": call.id, "X-Call-Id": call.id,
                   "X-Request-Timeout": choices.choice(["500ms", "2s", "10s"])}
        if call.kind in ("completion", "stream"):
            body = {"model": choices.choice(self.models), "max_tokens": 30, "prompt": call.id,
                    "stream": call.kind == "stream"}
            return "POST", "/v1/completions", json.dumps(body), headers
        if call.kind == "call with key":
            headers["Idempotency-Key"] = call.id
        return "GET" if call.kind == "repeatable call" else "POST", "/services/desk/slots", None, headers


def is_closed(connection):
    """Whether the peer has closed an idle connection."""
    return connection.sock is not None and bool(select.select([connection.sock], [], [], 0)[0])


def receive(connection, call):
    """Reads the answer and notes the outcome; returns whether the connection can be used again."""
    data = b""
    try:
        answer = connection.getresponse()
        call.outcome = "cut"
        call.status = answer.status
        call.foreign = answer.headers["X-Request-Id"] != call.id
        while piece := answer.read1(65536):
            data += piece
        answer.close()
        call.outcome = "answered"
    except http.client.RemoteDisconnected:
        call.outcome = "unanswered"
    except ConnectionResetError:
        pass
    except (TimeoutError, http.client.IncompleteRead, http.client.BadStatusLine):
        # A stream that can't go on ends with an error event and without its proper end.
        if call.outcome != "cut":
            call.outcome = "unanswered"
        elif b'"error"' in data:
            call.outcome = "answered"
    if call.status >= 400 and call.outcome == "answered":
        call.ran = json.loads(data).get("ran", "")
    return call.outcome == "answered" and not answer.will_close
