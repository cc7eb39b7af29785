"""TCP proxy on loopback that can delay, reset, stall or half-block its connections."""
import socket
import struct
import threading
import time

CHUNK = 65536


class LoopbackProxy:
    """Forwards a port of its own to `target`, which may be set after construction.

    `mode` applies to all connections, existing and new: "pass", "delay" (each chunk waits `delay`
    seconds), "silent" (nothing is forwarded and new connections hang), "one_way" (nothing is forwarded
    from the target to the client). Held data is forwarded once the mode is "pass" again.
    `stall_open` permanently stalls the open connections without a reset; new ones work.
    """

    def __init__(self):
        self.target = None
        self.mode = "pass"
        self.delay = 0.0
        self.pairs = set()
        self.stalled = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_all(self):
        """Closes every connection with a TCP reset."""
        with self.lock:
            pairs = list(self.pairs)
        for pair in pairs:
            for end in pair:
                try:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    end.close()
                except OSError:
                    pass

    def stall_open(self):
        """Permanently stops forwarding on the connections that are open now."""
        with self.lock:
            self.stalled |= self.pairs

    def close(self):
        self.listener.close()
        self.reset_all()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(client,), daemon=True).start()

    def _connect(self, client):
        self._wait_until_forwarding(to_client=False)
        host, port = self.target.rsplit(":", 1)
        try:
            upstream = socket.create_connection((host, int(port)), timeout=2)
        except OSError:
            client.close()
            return
        upstream.settimeout(None)
        pair = (client, upstream)
        with self.lock:
            self.pairs.add(pair)
        response_pump = threading.Thread(target=self._pump, args=(pair, upstream, client, True), daemon=True)
        response_pump.start()
        self._pump(pair, client, upstream, False)
        response_pump.join()
        with self.lock:
            self.pairs.discard(pair)
            self.stalled.discard(pair)
        client.close()
        upstream.close()

    def _wait_until_forwarding(self, to_client):
        while self.mode == "silent" or (to_client and self.mode == "one_way"):
            time.sleep(0.01)

    def _pump(self, pair, source, sink, to_client):
        try:
            while data := source.recv(CHUNK):
                if self.mode == "delay":
                    time.sleep(self.delay)
                self._wait_until_forwarding(to_client)
                if pair not in self.stalled:
                    sink.sendall(data)
        except OSError:
            pass
        if pair in self.stalled:
            return  # the end of the stream is not forwarded either
        try:
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass
