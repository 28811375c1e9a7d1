"""Simulates a target of a relay node: heartbeats, instance checks, load reports and faults.

Each process has its own instance id. It sends heartbeats to the node on its host, answers its
health path and runs only requests for its instance id. The query of a request says what to do:

- ``work_ms``: run for that long.
- ``fail``: answer with that status.
- ``refuse``: answer that the request did not run.
- ``echo``: answer with the body of the request.
- ``cut``: close the connection without a response.
- ``extra``: send a second response after the first, with the id of no request.
- ``twice``: send a second response after the first, with the same request id and another body.
- ``mute``: send no response.
- ``beheaded``: send a head of a response with a body, without that many of its last bytes, then
  ``end``: ``close`` or ``reset``.
- ``crash``: end the process.
- ``endless``: send bytes until the client closes the connection, see :func:`make_endless`.
- ``size``: stream a body of that many bytes, see :func:`make_body`. ``framing`` is ``length``,
  ``chunked`` or ``none``; ``pace_ms`` is the time between two pieces of 16 KiB; after ``at`` bytes
  the ``end`` follows: ``reset``, ``close`` or ``garbage``.

``/_runs`` lists the runs. ``/_advertise`` sets what the responses to requests advertise, by its
query: ``limit``, a rate limit, ``leaving``, and ``health`` for the responses to probes as well. On
SIGUSR1 the target announces that it leaves, on SIGUSR2 that it stays.
"""

import asyncio
import json
import os
import signal
import sys
import time
from functools import partial
from urllib.parse import parse_qs, parse_qsl, urlsplit

from standins.endless import make_endless
from standins.server import Reply, run_server

_HEARTBEAT_SECONDS = 0.5
_WORK_MS = 5
_IDENTITY_HEADERS = ("tenant", "key")
_PIECE_BYTES = 16_384
_FRAMING_HEADERS = {
    "a length": (("Content-Length", "20"),),
    "chunks": (("Transfer-Encoding", "chunked"),),
    "no length": (),
}
_PATTERN = bytes(range(251)) * 400


def make_body(start, end):
    """Make a part of a streamed body.

    :param start: the position of its first byte in the body.
    :param end: the position behind its last byte; at most 64 KiB after ``start``.
    :return: the bytes, a pattern that doesn't repeat at powers of two.
    """
    offset = start % 251
    return _PATTERN[offset : offset + end - start]


class RelayTarget:
    """One target process.

    :param options: the options of the command line, by name.
    """

    def __init__(self, options):
        self._options = options
        self._instance = f"i-{options['name']}-{os.getpid()}"
        self._started_at_ms = int(time.time() * 1000)
        self._sequence = 0
        self._leaving = False
        self._advertised = {}
        self._running = 0
        self._runs = []
        self._changed = asyncio.Event()
        # The functions that send a response themselves, by the option that asks for them.
        self._streams = {
            "size": self._stream,
            "endless": self._write_endlessly,
            "beheaded": self._send_part,
        }

    async def serve(self, request):
        """Answer one request."""
        url = urlsplit(request.path)
        if url.path == "/health":
            return self._answer_probe(request)
        if url.path == "/_runs":
            return Reply(body=json.dumps(self._runs).encode())
        if url.path == "/_advertise":
            return self._advertise(dict(parse_qsl(url.query)))
        if request.headers.get("expect-instance", "") != self._instance:
            return self._reply(421, request, not_run=True)
        self._journal("arrivals", request.headers.get("request-id"))
        if self._running >= self._options["slots"]:
            return self._reply(503, request, not_run=True)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self._running += 1
        run = self._record_run(request)
        try:
            return await self._work(request, query, run)
        except asyncio.CancelledError:
            # The connection was closed. Like most targets, this one cancels the work.
            run["cancelled"] = True
            raise
        finally:
            if not self._streams.keys() & query.keys():
                self._end_run(run)

    def _answer_probe(self, request):
        reply = self._reply(503 if self._leaving else 200, request)
        if "health" in self._advertised:
            return reply
        headers = [pair for pair in reply.headers if not pair[0].startswith("Server-")]
        return reply._replace(headers=tuple(headers))

    def _advertise(self, advertised):
        self._advertised = advertised
        self._journal("statements", advertised.get("limit", "-"), int("leaving" in advertised))
        return Reply(body=self._instance.encode())

    async def _work(self, request, query, run):
        await asyncio.sleep(int(query.get("work_ms", _WORK_MS)) / 1000)
        if "crash" in query:
            os._exit(1)
        if "cut" in query:
            return Reply(hang_up=True)
        for name, stream in self._streams.items():
            if name in query:
                return Reply(stream=partial(stream, request=request, query=query, run=run))
        if "mute" in query:
            await asyncio.Event().wait()
        if "refuse" in query:
            return self._reply(503, request, not_run=True)
        if "echo" in query:
            return self._reply(200, request)._replace(body=request.body)
        if "extra" in query:
            return Reply(raw=_render_two_responses(request, "stray"), close=False)
        if "twice" in query:
            request_id = request.headers["request-id"]
            return Reply(raw=_render_two_responses(request, request_id), close=False)
        return self._reply(int(query.get("fail", 200)), request)

    def _end_run(self, run):
        self._running -= 1
        run["ended"] = True
        self._journal("ends", run["request-id"])

    async def _stream(self, writer, request, query, run):
        try:
            await self._send_body(writer, request, query)
        finally:
            self._end_run(run)

    async def _send_part(self, writer, request, query, run):
        try:
            head = self._render_head(request, query)
            await writer.write(head[: max(0, len(head) - int(query["beheaded"]))])
            await writer.end(is_reset=query["end"] == "reset")
        finally:
            self._end_run(run)

    def _render_head(self, request, query):
        framing = _FRAMING_HEADERS[query["framing"]]
        headers = (*self._reply(200, request).headers, *framing, ("Keep-Alive", "timeout=5"))
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers), "", ""]
        return "\r\n".join(lines).encode()

    async def _write_endlessly(self, writer, request, query, run):
        pairs = self._reply(200, request).headers
        headers = "".join(f"{name}: {value}\r\n" for name, value in pairs).encode()
        try:
            for piece in make_endless(query["endless"], headers):
                await writer.write(piece)
                await asyncio.sleep(0)
        finally:
            self._end_run(run)

    async def _send_body(self, writer, request, query):
        size, framing = int(query["size"]), query.get("framing", "length")
        head = self._reply(200, request).headers
        if framing == "length":
            head += (("Content-Length", str(size)),)
        elif framing == "chunked":
            head += (("Transfer-Encoding", "chunked"),)
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head), "", ""]
        await writer.write("\r\n".join(lines).encode())
        last = int(query.get("at", size))
        for start in range(0, last, _PIECE_BYTES):
            piece = make_body(start, min(last, start + _PIECE_BYTES))
            if framing == "chunked":
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            await writer.write(piece)
            if "pace_ms" in query:
                await asyncio.sleep(int(query["pace_ms"]) / 1000)
        if "end" in query:
            if query["end"] == "garbage":
                await writer.write(b"zz is no length of a chunk\r\n")
            await writer.end(is_reset=query["end"] == "reset")
        elif framing == "chunked":
            await writer.write(b"0\r\n\r\n")
        elif framing == "none":
            await writer.end(is_reset=False)

    def _record_run(self, request):
        header_names = ("request-id", "caller", "deadline-ms", "expect-instance", "host")
        headers = {name: request.headers.get(name) for name in header_names}
        run = {"method": request.method, "path": request.path, **headers}
        run |= {name: request.headers.get(name) for name in _IDENTITY_HEADERS}
        self._runs.append(run)
        self._journal("runs", headers["request-id"])
        self._journal("identities", json.dumps([headers["request-id"], run["tenant"], run["key"]]))
        return run

    def _journal(self, name, *fields):
        line = (*fields, self._options["name"], time.time(), self._instance)
        with open(f"{self._options['journals']}/{name}.log", "a", encoding="utf-8") as journal:
            journal.write(" ".join(map(str, line)) + "\n")

    def _reply(self, status, request, not_run=False):
        headers = [
            ("Instance", self._instance),
            ("Instance-Load", f"{self._running},0,{self._options['slots']},100"),
            ("Response-Stamp", f"stamp-{self._instance}"),
        ]
        if "request-id" in request.headers:
            headers.append(("Request-Id", request.headers["request-id"]))
        if not_run:
            headers.append(("Not-Executed", "1"))
        if status != 421:
            headers += self._advertised_headers()
        body = f"{self._options['name']} {request.method} {request.path}\n".encode()
        return Reply(status=status, headers=tuple(headers), body=body)

    def _advertised_headers(self):
        if "limit" in self._advertised:
            yield "Server-Limit", self._advertised["limit"]
        if "leaving" in self._advertised:
            yield "Server-Leaving", "1"

    async def send_heartbeats(self):
        """Send heartbeats at a fixed interval, and at once when the state changes."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self._set_leaving, True)
        loop.add_signal_handler(signal.SIGUSR2, self._set_leaving, False)
        while True:
            self._sequence += 1
            # A change during the heartbeat is announced by the next one, right after it.
            self._changed.clear()
            leaving = self._leaving
            fields = {
                "service": self._options["service"],
                "addr": self._options["address"],
                "zone": "fd",
                "version": "v1",
                "slots": self._options["slots"],
                "state": "draining" if leaving else "ready",
                "cold_left_s": 0,
                "seq": self._sequence,
                "born": self._started_at_ms,
            }
            if await self._send("PUT", json.dumps(fields).encode()):
                print(f"acknowledged PUT leaving={leaving} {time.time()}", flush=True)
            try:
                await asyncio.wait_for(self._changed.wait(), _HEARTBEAT_SECONDS)
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
            response = await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in response[:16]


def _render_two_responses(request, second_id):
    own = _render_response("own\n", request.headers["request-id"])
    return own + _render_response("stray\n", second_id)


def _render_response(body, request_id):
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
    run_server(options["address"], target.serve, (target.send_heartbeats(),))


if __name__ == "__main__":
    main()
