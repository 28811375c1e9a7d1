"""Stand-in of a target: a service that announces itself and works for as long as it is told.

It works on at most ``slots`` calls at once; more are answered 503. A call's query says what
to do: ``work_ms`` (how long), ``size`` (of the answer), ``fail`` (``503``, ``cut``, ``hang-up``,
``crash`` or ``unframed``). Each POST's key is counted under ``GET /_runs``. ``/_factor/N`` makes
all work take N times as long; ``/_fail/503`` lets every call fail at once, ``/_fail/none`` ends it.
All work is counted under ``GET /_seen``. On SIGTERM it leaves: it tells its node and ends once it
was told that it is empty.
"""

import asyncio
import json
import os
import sys
from collections import Counter
from urllib.parse import parse_qs, urlsplit

from standins.server import Reply, run_server

_ANNOUNCE_SECONDS = 1.0
_LEAVE_SECONDS = 60.0


class Target:
    """One target's state."""

    def __init__(self, options):
        self._options = options
        self._slots = asyncio.Semaphore(options["slots"])
        self._runs = Counter()
        self._slow_ms = options.get("work_ms", 1)
        self._factor = 1.0
        self._fail = None
        self._seen = 0
        self._working = 0
        self._drained = asyncio.Event()

    async def serve(self, received):
        """Answer one request."""
        if received.path == "/_runs":
            return Reply(body=json.dumps(self._runs).encode())
        if received.path == "/_seen":
            return Reply(body=b"%d" % self._seen)
        if received.path == "/drain":
            print(f"drained with {self._working} calls in flight", flush=True)
            self._drained.set()
            return Reply()
        if received.path.startswith("/_slow/"):
            self._slow_ms = float(received.path.rpartition("/")[2])
            return Reply()
        if received.path.startswith("/_factor/"):
            self._factor = float(received.path.rpartition("/")[2])
            return Reply()
        if received.path.startswith("/_fail/"):
            self._fail = _FAILURES.get(received.path.rpartition("/")[2])
            return Reply()
        if self._fail is not None:
            return self._fail
        query = {key: values[0] for key, values in parse_qs(urlsplit(received.path).query).items()}
        if self._slots.locked():
            return Reply(status=503, body=b"busy")
        async with self._slots:
            self._seen += 1
            self._working += 1
            try:
                return await self._work(received, query)
            finally:
                self._working -= 1

    async def _work(self, received, query):
        if received.method == "POST":
            self._note_run(query.get("key", ""))
        work_ms = float(query.get("work_ms", self._slow_ms)) * self._factor
        await asyncio.sleep(work_ms / 1000)
        fail = query.get("fail")
        if fail == "crash":
            os._exit(1)
        if fail is not None:
            return _FAILURES[fail]
        size = int(query.get("size", 0))
        body = f"{self._options['name']} {received.method} {received.path}\n".encode()
        return Reply(headers=(("content-type", "text/plain"),), body=body + b"x" * size)

    def _note_run(self, key):
        self._runs[key] += 1
        if "journal" in self._options:
            # What a killed target ran must still be counted.
            with open(self._options["journal"], "a", encoding="utf-8") as journal:
                journal.write(f"{key}\n")

    async def announce(self):
        """Announce the target to the node beside it every second."""
        document = {key: self._options[key] for key in ("service", "address", "slots")}
        document["instance"] = str(os.getpid())
        body = json.dumps(document).encode()
        while True:
            await _post(self._options["announce"], "/announce", body)
            await asyncio.sleep(_ANNOUNCE_SECONDS)

    async def leave(self):
        """Ask the node for no more work and wait until there is none."""
        if await _post(self._options["announce"], "/leave", b""):
            await asyncio.wait_for(self._drained.wait(), _LEAVE_SECONDS)


_FAILURES = {
    "503": Reply(status=503, body=b"failing"),
    "cut": Reply(raw=b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly a part"),
    "unframed": Reply(raw=b"HTTP/1.1 200 OK\r\n\r\nwithout an end"),
    "hang-up": Reply(hang_up=True),
}


async def _post(address, path, body):
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST {path} HTTP/1.1\r\nHost: node\r\nContent-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"Connection: close\r\n\r\n" + body)
        answer = await reader.read()
        writer.close()
        return answer
    except OSError:
        return b""


def main():
    """Run a target whose options are the JSON object on the command line."""
    options = json.loads(sys.argv[1])
    target = Target(options)
    run_server(options["address"], target.serve, (target.announce(),), target.leave)


if __name__ == "__main__":
    main()
