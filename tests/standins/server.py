"""A small HTTP server on asyncio, shared by the stand-ins for targets and services."""

import asyncio
import signal
import socket
import struct
from typing import NamedTuple

import httptools


class Request(NamedTuple):
    """One HTTP request; ``peer`` is the IP address of the client."""

    method: str
    path: str
    headers: dict
    body: bytes
    peer: str = ""


class Reply(NamedTuple):
    """One HTTP response.

    :param status: the status.
    :param headers: pairs of name and value.
    :param body: the body.
    :param raw: bytes that are sent instead of the rendered response; None to render it.
    :param close: whether the connection is closed after ``raw``.
    :param hang_up: whether the connection is aborted without a response.
    :param stream: a coroutine function that takes a :class:`Writer` and sends the response itself;
        None to render it.
    """

    status: int = 200
    headers: tuple = ()
    body: bytes = b""
    raw: bytes | None = None
    close: bool = True
    hang_up: bool = False
    stream: object = None


class Writer:
    """Sends the bytes of a response as fast as the client takes them.

    :param transport: the connection's transport.
    """

    def __init__(self, transport):
        self._transport = transport
        self._ready = asyncio.Event()
        self._ready.set()

    def set_ready(self, is_ready):
        """Let :meth:`write` go on, or wait."""
        if is_ready:
            self._ready.set()
        else:
            self._ready.clear()

    async def write(self, data):
        """Send bytes, once earlier ones have been taken."""
        await self._ready.wait()
        self._transport.write(data)

    async def end(self, is_reset):
        """End the connection after what was sent, by a reset or in order."""
        if is_reset:
            # Give the bytes before the reset time to be read: a reset may discard them.
            await asyncio.sleep(0.1)
            linger = struct.pack("ii", 1, 0)
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            self._transport.abort()
        else:
            self._transport.close()


class _Protocol(asyncio.Protocol):
    def __init__(self, serve):
        self._serve = serve
        self._parser = httptools.HttpRequestParser(self)
        self._reply_task = None

    def connection_made(self, transport):
        self._transport = transport
        self._writer = Writer(transport)

    def pause_writing(self):
        self._writer.set_ready(False)

    def resume_writing(self):
        self._writer.set_ready(True)

    def connection_lost(self, _error):
        if self._reply_task is not None:
            self._reply_task.cancel()

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
        key, text = name.decode().lower(), value.decode("latin-1")
        self._headers[key] = f"{self._headers[key]}, {text}" if key in self._headers else text

    def on_body(self, body):
        self._body.append(body)

    def on_message_complete(self):
        method = self._parser.get_method().decode()
        peer = self._transport.get_extra_info("peername")[0]
        body = b"".join(self._body)
        request = Request(method, self._url.decode(), self._headers, body, peer)
        self._reply_task = asyncio.ensure_future(self._answer(request))

    async def _answer(self, request):
        reply = await self._serve(request)
        if reply.stream is not None:
            await reply.stream(self._writer)
        elif reply.hang_up:
            self._transport.abort()
        elif reply.raw is not None:
            self._transport.write(reply.raw)
            if reply.close:
                self._transport.close()
        else:
            self._transport.write(_render_reply(reply, request.method))


def _render_reply(reply, method):
    lines = [f"HTTP/1.1 {reply.status} X".encode()]
    lines += [f"{name}: {value}".encode() for name, value in reply.headers]
    lines.append(b"content-length: %d" % len(reply.body))
    body = b"" if method == "HEAD" else reply.body
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


async def _run(address, serve, background, before_stop):
    loop = asyncio.get_running_loop()
    host, port = address.split(":")
    server = await loop.create_server(lambda: _Protocol(serve), host, int(port), backlog=512)
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    tasks = [asyncio.ensure_future(task) for task in background]
    await stop.wait()
    if before_stop is not None:
        await before_stop()
    for task in tasks:
        task.cancel()
    server.close()


def run_server(address, serve, background=(), before_stop=None):
    """Serve until SIGTERM.

    :param address: where to listen, as ``IP:PORT``.
    :param serve: a coroutine function from :class:`Request` to :class:`Reply`.
    :param background: coroutines to run at the same time.
    :param before_stop: a coroutine function to run between SIGTERM and the end.
    :return: None.
    """
    asyncio.run(_run(address, serve, background, before_stop))
