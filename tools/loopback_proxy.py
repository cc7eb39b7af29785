"""A TCP proxy on loopback whose connections can be delayed, reset, silenced or cut one way."""
import socket
import struct
import threading
import time

CHUNK = 65536


class LoopbackProxy:
    """Forwards one port of its own to `target`, which may be set after the start.

    `mode` holds for all connections, old and new: "pass", "delay" (each piece waits for `delay`
    seconds), "silent" (nothing passes and new connections hang), "one_way" (nothing comes back).
    What was held up passes on when the mode is "pass" again. `hush_open` silences the connections
    that are open now, for good and without a reset; new ones work.
    """

    def __init__(self):
        self.target = None
        self.mode = "pass"
        self.delay = 0.0
        self.pairs = set()
        self.hushed = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_all(self):
        """Ends every connection with a reset."""
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            for end in pair:
                try:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    end.close()
                except OSError:
                    pass

    def hush_open(self):
        """Nothing passes any more on the connections that are open now."""
        with self.lock:
            self.hushed |= self.pairs

    def close(self):
        self.listener.close()
        self.reset_all()

    def _accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(caller,), daemon=True).start()

    def _connect(self, caller):
        self._await_passage(back=False)
        host, port = self.target.rsplit(":", 1)
        try:
            called = socket.create_connection((host, int(port)), timeout=2)
        except OSError:
            caller.close()
            return
        called.settimeout(None)
        pair = (caller, called)
        with self.lock:
            self.pairs.add(pair)
        back = threading.Thread(target=self._pump, args=(pair, called, caller, True), daemon=True)
        back.start()
        self._pump(pair, caller, called, False)
        back.join()
        with self.lock:
            self.pairs.discard(pair)
            self.hushed.discard(pair)
        caller.close()
        called.close()

    def _await_passage(self, back):
        while self.mode == "silent" or (back and self.mode == "one_way"):
            time.sleep(0.01)

    def _pump(self, pair, source, sink, back):
        try:
            while data := source.recv(CHUNK):
                if self.mode == "delay":
                    time.sleep(self.delay)
                self._await_passage(back)
                if pair not in self.hushed:
                    sink.sendall(data)
        except OSError:
            pass
        if pair in self.hushed:
            return  # also the end is not told
        try:
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass
