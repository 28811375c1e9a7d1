"""Tells which hosts use the store: each node reaches it through a proxy of its own."""

import socket
import threading
import time

_CHUNK_BYTES = 65_536
_TIMEOUT_SECONDS = 1.0


class NotingProxy:
    """Forwards connections to the store, and notes when it last forwarded something.

    :param address: the address to listen on, as ``IP:PORT``.
    :param server: the address to forward to.
    """

    def __init__(self, address, server):
        self.used_at = 0.0
        self._server = server
        host, port = address.split(":")
        self._listener = socket.create_server((host, int(port)), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Accept no more connections."""
        self._listener.close()

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            host, port = self._server.split(":")
            try:
                server = socket.create_connection((host, int(port)), _TIMEOUT_SECONDS)
            except OSError:
                client.close()
                continue
            server.settimeout(None)
            for ends in ((client, server), (server, client)):
                threading.Thread(target=self._forward, args=ends, daemon=True).start()

    def _forward(self, source, sink):
        try:
            while data := source.recv(_CHUNK_BYTES):
                self.used_at = time.time()
                sink.sendall(data)
        except OSError:
            pass
        finally:
            for end in (source, sink):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                end.close()
