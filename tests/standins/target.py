"""Simulates a target: a service that announces itself to its node and runs calls.

It runs at most ``slots`` calls at once and answers others with 503. The query of a call says what
to do: ``work_ms`` (how long to run), ``size`` (bytes to add to the response body), ``fail``
(``503``, ``cut``, ``hang-up``, ``crash`` or ``unframed``) and ``key`` (the key under which a POST
is counted).

Other paths control the target:

- ``GET /_runs`` returns how often each key has run, ``GET /_seen`` the number of all calls run.
- ``/_slow/MS`` sets the default run time, ``/_factor/N`` multiplies all run times by N.
- ``/_fail/503`` makes every call fail at once, with any of the failures above but ``crash``;
  ``/_fail/none`` ends that.

On SIGTERM the target asks its node to send no more calls, and ends when the node has called
``/drain``.
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
    """One target process.

    :param options: the options of the command line, by name.
    """

    def __init__(self, options):
        self._options = options
        self._slots = asyncio.Semaphore(options["slots"])
        self._runs = Counter()
        self._default_work_ms = options.get("work_ms", 1)
        self._slowdown = 1.0
        self._failure = None
        self._call_count = 0
        self._running = 0
        self._drained = asyncio.Event()

    async def serve(self, request):
        """Answer one request."""
        if request.path == "/_runs":
            return Reply(body=json.dumps(self._runs).encode())
        if request.path == "/_seen":
            return Reply(body=b"%d" % self._call_count)
        if request.path == "/drain":
            print(f"drained with {self._running} calls in flight", flush=True)
            self._drained.set()
            return Reply()
        if request.path.startswith("/_slow/"):
            self._default_work_ms = float(request.path.rpartition("/")[2])
            return Reply()
        if request.path.startswith("/_factor/"):
            self._slowdown = float(request.path.rpartition("/")[2])
            return Reply()
        if request.path.startswith("/_fail/"):
            self._failure = _FAILURES.get(request.path.rpartition("/")[2])
            return Reply()
        if self._failure is not None:
            return self._failure
        query = {key: values[0] for key, values in parse_qs(urlsplit(request.path).query).items()}
        if self._slots.locked():
            return Reply(status=503, body=b"busy")
        async with self._slots:
            self._call_count += 1
            self._running += 1
            try:
                return await self._work(request, query)
            finally:
                self._running -= 1

    async def _work(self, request, query):
        if request.method == "POST":
            self._record_run(query.get("key", ""))
        work_ms = float(query.get("work_ms", self._default_work_ms)) * self._slowdown
        await asyncio.sleep(work_ms / 1000)
        fail = query.get("fail")
        if fail == "crash":
            os._exit(1)
        if fail is not None:
            return _FAILURES[fail]
        size = int(query.get("size", 0))
        body = f"{self._options['name']} {request.method} {request.path}\n".encode()
        return Reply(headers=(("content-type", "text/plain"),), body=body + b"x" * size)

    def _record_run(self, key):
        self._runs[key] += 1
        if "journal" in self._options:
            # The runs of a killed target must be counted as well.
            with open(self._options["journal"], "a", encoding="utf-8") as journal:
                journal.write(f"{key}\n")

    async def announce(self):
        """Announce the target to its node every second."""
        document = {key: self._options[key] for key in ("service", "address", "slots")}
        document["instance"] = str(os.getpid())
        body = json.dumps(document).encode()
        while True:
            await _post(self._options["announce"], "/announce", body)
            await asyncio.sleep(_ANNOUNCE_SECONDS)

    async def leave(self):
        """Ask the node to send no more calls, and wait until it has none left for this target."""
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
        response = await reader.read()
        writer.close()
        return response
    except OSError:
        return b""


def main():
    """Run a target whose options are the JSON object on the command line."""
    options = json.loads(sys.argv[1])
    target = Target(options)
    run_server(options["address"], target.serve, (target.announce(),), target.leave)


if __name__ == "__main__":
    main()
