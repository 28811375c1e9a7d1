"""Stand-in of a target on the users' platform: heartbeats, instance checks, load, and mischief.

It starts with an id of its own, sends heartbeats to the node beside it, answers its health path,
and runs requests for that id only. A request's query says what to do: ``work_ms``, ``fail`` (a
status), ``cut`` (the connection breaks off while it runs), ``extra`` (a second answer behind the
first, which belongs to no request), ``twice`` (a second answer behind the first, to the same
request and with another body), ``mute`` (no answer), ``crash``.
``/_runs`` lists what ran. SIGUSR1 makes it announce that it leaves, SIGUSR2 that it stays.
"""

import asyncio
import json
import os
import signal
import sys
import time
from urllib.parse import parse_qs, urlsplit

from standins.server import Reply, run_server

_BEAT_SECONDS = 0.5
_WORK_MS = 5


class RelayTarget:
    """One target's state."""

    def __init__(self, options):
        self._options = options
        self._instance = f"i-{options['name']}-{os.getpid()}"
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._leaving = False
        self._running = 0
        self._runs = []
        self._changed = asyncio.Event()

    async def serve(self, received):
        """Answer one request."""
        url = urlsplit(received.path)
        if url.path == "/health":
            return self._reply(503 if self._leaving else 200, received)
        if url.path == "/_runs":
            return Reply(body=json.dumps(self._runs).encode())
        if received.headers.get("expect-instance", "") != self._instance:
            return self._reply(421, received, not_run=True)
        if self._running >= self._options["slots"]:
            return self._reply(503, received, not_run=True)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self._running += 1
        run = self._note_run(received)
        try:
            return await self._work(received, query)
        except asyncio.CancelledError:
            # The connection was closed: like most targets, this one drops the work.
            run["cancelled"] = True
            raise
        finally:
            self._running -= 1

    async def _work(self, received, query):
        await asyncio.sleep(int(query.get("work_ms", _WORK_MS)) / 1000)
        if "crash" in query:
            os._exit(1)
        if "cut" in query:
            return Reply(hang_up=True)
        if "mute" in query:
            await asyncio.Event().wait()
        if "echo" in query:
            return self._reply(200, received)._replace(body=received.body)
        if "extra" in query:
            return Reply(raw=_answer_twice(received, "stray"), close=False)
        if "twice" in query:
            request_id = received.headers["request-id"]
            return Reply(raw=_answer_twice(received, request_id), close=False)
        return self._reply(int(query.get("fail", 200)), received)

    def _note_run(self, received):
        names = ("request-id", "caller", "deadline-ms", "expect-instance", "host")
        told = {name: received.headers.get(name) for name in names}
        run = {"method": received.method, "path": received.path, **told}
        self._runs.append(run)
        with open(self._options["journal"], "a", encoding="utf-8") as journal:
            journal.write(f"{told['request-id']} {self._options['name']} {time.time()}\n")
        return run

    def _reply(self, status, received, not_run=False):
        headers = [
            ("Instance", self._instance),
            ("Instance-Load", f"{self._running},0,{self._options['slots']},100"),
            ("Response-Stamp", f"stamp-{self._instance}"),
        ]
        if "request-id" in received.headers:
            headers.append(("Request-Id", received.headers["request-id"]))
        if not_run:
            headers.append(("Not-Executed", "1"))
        body = f"{self._options['name']} {received.method} {received.path}\n".encode()
        return Reply(status=status, headers=tuple(headers), body=body)

    async def beat(self):
        """Send heartbeats, and at once when something changed."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._set_leaving, True)
        loop.add_signal_handler(signal.SIGUSR2, self._set_leaving, False)
        while True:
            self._sequence += 1
            fields = {
                "service": self._options["service"],
                "addr": self._options["address"],
                "zone": "fd",
                "version": "v1",
                "slots": self._options["slots"],
                "state": "draining" if self._leaving else "ready",
                "cold_left_s": 0,
                "seq": self._sequence,
                "born": self._born,
            }
            await self._send("PUT", json.dumps(fields).encode())
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), _BEAT_SECONDS)
            except TimeoutError:
                continue

    def _set_leaving(self, leaving):
        self._leaving = leaving
        self._changed.set()

    async def _send(self, method, body):
        host, port = self._options["announce"].split(":")
        path = f"/api/instances/{self._instance}"
        head = f"{method} {path} HTTP/1.1\r\nHost: node\r\nContent-Length: {len(body)}\r\n"
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + b"Connection: close\r\n\r\n" + body)
            answer = await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return
        if b" 200 " in answer[:16]:
            print(f"acknowledged {method} leaving={self._leaving} {time.time()}", flush=True)


def _answer_twice(received, second_id):
    own = _render("own\n", received.headers["request-id"])
    return own + _render("stray\n", second_id)


def _render(body, request_id):
    lines = (
        "HTTP/1.1 200 OK",
        f"Request-Id: {request_id}",
        "Response-Stamp: stamp",
        f"Content-Length: {len(body)}",
        "",
    )
    return "\r\n".join((*lines, body)).encode()


def main():
    """Run a target whose options are the JSON object on the command line."""
    options = json.loads(sys.argv[1])
    target = RelayTarget(options)
    run_server(options["address"], target.serve, (target.beat(),))


if __name__ == "__main__":
    main()
