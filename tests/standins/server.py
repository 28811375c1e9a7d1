"""A small HTTP server on asyncio that the stand-ins share."""

import asyncio
import signal
from typing import NamedTuple

import httptools


class Received(NamedTuple):
    """One request as a stand-in sees it."""

    method: str
    path: str
    headers: dict
    body: bytes
    peer: str = ""


class Reply(NamedTuple):
    """A stand-in's answer; ``raw`` replaces the rest, None closes without a word."""

    status: int = 200
    headers: tuple = ()
    body: bytes = b""
    raw: bytes | None = None
    close: bool = True
    hang_up: bool = False


class _Protocol(asyncio.Protocol):
    def __init__(self, serve):
        self._serve = serve
        self._parser = httptools.HttpRequestParser(self)
        self._tail = None

    def connection_made(self, transport):
        self._transport = transport

    def connection_lost(self, _error):
        if self._tail is not None:
            self._tail.cancel()

    def data_received(self, data):
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.close()

    def on_message_begin(self):
        self._url, self._headers, self._body = b"", {}, []

    def on_url(self, url):
        self._url += url

    def on_header(self, name, value):
        self._headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body):
        self._body.append(body)

    def on_message_complete(self):
        method = self._parser.get_method().decode()
        peer = self._transport.get_extra_info("peername")[0]
        body = b"".join(self._body)
        received = Received(method, self._url.decode(), self._headers, body, peer)
        self._tail = asyncio.ensure_future(self._answer(received))

    async def _answer(self, received):
        reply = await self._serve(received)
        if reply.hang_up:
            self._transport.abort()
        elif reply.raw is not None:
            self._transport.write(reply.raw)
            if reply.close:
                self._transport.close()
        else:
            self._transport.write(_render(reply, received.method))


def _render(reply, method):
    lines = [f"HTTP/1.1 {reply.status} X".encode()]
    lines += [f"{name}: {value}".encode() for name, value in reply.headers]
    lines.append(b"content-length: %d" % len(reply.body))
    body = b"" if method == "HEAD" else reply.body
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def _run(address, serve, beside, before_stop):
    loop = asyncio.get_running_loop()
    host, port = address.split(":")
    server = await loop.create_server(lambda: _Protocol(serve), host, int(port), backlog=512)
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    tasks = [asyncio.ensure_future(task) for task in beside]
    await stop.wait()
    if before_stop is not None:
        await before_stop()
    for task in tasks:
        task.cancel()
    server.close()


def run_server(address, serve, beside=(), before_stop=None):
    """Serve until SIGTERM.

    :param address: ``IP:PORT``.
    :param serve: a coroutine function from :class:`Received` to :class:`Reply`.
    :param beside: coroutines to run meanwhile.
    :param before_stop: a coroutine function to run between SIGTERM and the end.
    :return: None.
    """
    asyncio.run(_run(address, serve, beside, before_stop))
