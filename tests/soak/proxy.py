"""A loopback TCP proxy that delays, withholds or resets the traffic through it."""

import socket
import threading
import time

_CHUNK = 65_536
_POLL_SECONDS = 0.05


class Proxy:
    """Forwards connections to one server; ``mode`` may change at any time.

    Modes: ``pass``, ``delay`` (50 ms per chunk), ``silent`` (nothing is forwarded or closed),
    ``one_way`` (responses are held back) and ``reset`` (connections are closed).
    """

    def __init__(self, address, server):
        self._server = server
        self.mode = "pass"
        self._open = True
        host, port = address.split(":")
        self._listener = socket.create_server((host, int(port)), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Accept no more connections and close the open ones."""
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
            # Uses the client's own address, by which the server identifies its callers.
            server = socket.create_connection((host, int(port)), 1, source_address=(peer, 0))
        except OSError:
            client.close()
            return
        for source, sink, is_response in ((client, server, False), (server, client, True)):
            thread = threading.Thread(
                target=self._forward, args=(source, sink, is_response), daemon=True
            )
            thread.start()

    def _forward(self, source, sink, is_response):
        try:
            source.settimeout(_POLL_SECONDS)
            while self._open:
                if self.mode == "reset":
                    break
                if self.mode == "silent" or (self.mode == "one_way" and is_response):
                    time.sleep(_POLL_SECONDS)
                    continue
                if not self._forward_chunk(source, sink):
                    break
        except OSError:
            pass
        finally:
            for end in (source, sink):
                end.close()

    def _forward_chunk(self, source, sink):
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
