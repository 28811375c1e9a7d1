"""A loopback TCP proxy that delays, withholds or resets the traffic through it."""

import socket
import threading
import time

_CHUNK = 65_536
_POLL_SECONDS = 0.05
# With a rate, small reads and receive buffers: data that waits in the proxy's own buffers is out
# of its sender's control.
_RATED_CHUNK = 512
_RATED_BUFFER = 2_048


class Proxy:
    """Forwards connections to one server; ``mode`` may change at any time.

    Modes: ``pass``, ``delay`` (50 ms per chunk), ``silent`` (nothing is forwarded or closed),
    ``one_way`` (responses are held back) and ``reset`` (connections are closed).

    :param rate: bytes per second and direction of each connection; None for no limit.
    """

    def __init__(self, address, server, rate=None):
        self._server = server
        self._rate = rate
        self.mode = "pass"
        self._open = True
        host, port = address.split(":")
        self._listener = socket.create_server((host, int(port)), backlog=128)
        if rate is not None:
            # Accepted connections inherit the size.
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RATED_BUFFER)
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
            server = self._connect(host, int(port), peer)
        except OSError:
            client.close()
            return
        for source, sink, is_response in ((client, server, False), (server, client, True)):
            thread = threading.Thread(
                target=self._forward, args=(source, sink, is_response), daemon=True
            )
            thread.start()

    def _connect(self, host, port, peer):
        if self._rate is None:
            return socket.create_connection((host, port), 1, source_address=(peer, 0))
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RATED_BUFFER)
        server.settimeout(1)
        server.bind((peer, 0))
        server.connect((host, port))
        return server

    def _forward(self, source, sink, is_response):
        free_at = 0.0
        try:
            source.settimeout(_POLL_SECONDS)
            while self._open:
                if self.mode == "reset":
                    break
                if self.mode == "silent" or (self.mode == "one_way" and is_response):
                    time.sleep(_POLL_SECONDS)
                    continue
                size = self._forward_chunk(source, sink)
                if size == 0:
                    break
                if self._rate is not None and size is not None:
                    free_at = max(time.monotonic(), free_at) + size / self._rate
                    time.sleep(max(0.0, free_at - time.monotonic()))
        except OSError:
            pass
        finally:
            for end in (source, sink):
                end.close()

    def _forward_chunk(self, source, sink):
        """Forward some bytes and return their number, 0 at the end, None if there were none."""
        try:
            data = source.recv(_CHUNK if self._rate is None else _RATED_CHUNK)
        except TimeoutError:
            return None
        if self.mode == "delay" and data:
            time.sleep(_POLL_SECONDS)
        sink.sendall(data)
        return len(data)
