"""A loopback proxy that delays, silences, resets or cuts one way what passes through it."""

import socket
import threading
import time

_CHUNK = 65_536
_POLL_SECONDS = 0.05


class Proxy:
    """Stands between clients and one server; ``mode`` may change at any moment.

    Modes: ``pass``, ``delay`` (50 ms a piece), ``silent`` (nothing goes on, nothing is closed),
    ``one_way`` (answers are held back) and ``reset`` (connections are broken off).
    """

    def __init__(self, address, server):
        self._server = server
        self.mode = "pass"
        self._open = True
        host, port = address.split(":")
        self._listener = socket.create_server((host, int(port)), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Take no more connections and end those there are."""
        self._open = False
        self._listener.close()

    def _accept(self):
        while self._open:
            try:
                client, peer = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client, peer[0]), daemon=True).start()

    def _serve(self, client, peer):
        host, port = self._server.split(":")
        try:
            # From the client's own address: the server tells its callers apart by it.
            server = socket.create_connection((host, int(port)), 1, source_address=(peer, 0))
        except OSError:
            client.close()
            return
        for source, sink, is_answer in ((client, server, False), (server, client, True)):
            pump = threading.Thread(target=self._pump, args=(source, sink, is_answer), daemon=True)
            pump.start()

    def _pump(self, source, sink, is_answer):
        try:
            source.settimeout(_POLL_SECONDS)
            while self._open:
                if self.mode == "reset":
                    break
                if self.mode == "silent" or (self.mode == "one_way" and is_answer):
                    time.sleep(_POLL_SECONDS)
                    continue
                if not self._move(source, sink):
                    break
        except OSError:
            pass
        finally:
            for end in (source, sink):
                end.close()

    def _move(self, source, sink):
        try:
            data = source.recv(_CHUNK)
        except TimeoutError:
            return True
        if not data:
            return False
        if self.mode == "delay":
            time.sleep(_POLL_SECONDS)
        sink.sendall(data)
        return True
