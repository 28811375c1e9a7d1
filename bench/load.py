"""Load generators: open-loop calls at scheduled times, and closed loops for the capacity.

The times of open-loop calls are drawn beforehand, and latency is measured from the scheduled time,
so that a stalled system doesn't hide its stall by slowing the generator down (coordinated
omission). The processes run asyncio on ``select``, whose timeouts are exact to microseconds where
epoll's are rounded up to 1 ms.
"""

import asyncio
import gc
import multiprocessing
import selectors
import time
from collections import defaultdict
from typing import NamedTuple

import httptools

START_SECONDS = 0.3
ANSWER_SECONDS = 15.0


class ScheduledCall(NamedTuple):
    """One call to send at a time in seconds after the start; ``tag`` groups the outcomes."""

    at: float
    address: str
    service: str
    path: str
    tag: str = ""
    method: str = "GET"
    headers: tuple = ()
    body: bytes = b""


class Outcome(NamedTuple):
    """The outcome of a call, its latency from the scheduled time; status 0 stands for no answer."""

    tag: str
    at: float
    seconds: float
    status: int
    code: int = 0
    ran: str = ""
    retry_after_ms: int | None = None


class ClosedLoop(NamedTuple):
    """A closed loop: callers that each send the next call when the last one is answered."""

    address: str
    service: str
    path: str
    callers: int
    seconds: float


class Counts(NamedTuple):
    """The counts of one closed loop."""

    answered: int
    failed: int
    seconds: float


def poisson(rate, seconds, random):
    """Draw the arrival times of a Poisson process.

    :param rate: arrivals per second.
    :param seconds: the duration in seconds.
    :param random: a ``random.Random``.
    :return: a list of seconds after the start.
    """
    moments = []
    moment = random.expovariate(rate)
    while moment < seconds:
        moments.append(moment)
        moment += random.expovariate(rate)
    return moments


def send_scheduled(calls, processes=2):
    """Send calls from several processes, each at its scheduled time.

    :param calls: the :class:`ScheduledCall` list.
    :param processes: the number of processes.
    :return: the :class:`Outcome` of each, in no order.
    """
    calls = sorted(calls)
    shares = [calls[number::processes] for number in range(processes)]
    start = time.monotonic() + START_SECONDS
    results = _run_processes([(_send_share, (share, start)) for share in shares])
    return [outcome for outcomes in results for outcome in outcomes]


def run_closed_loops(loops):
    """Run closed loops, each in its own process.

    :param loops: the :class:`ClosedLoop` list.
    :return: the :class:`Counts` of each.
    """
    return _run_processes([(_run_closed, (loop,)) for loop in loops])


def _run_processes(jobs):
    context = multiprocessing.get_context("fork")
    running = []
    for work, arguments in jobs:
        reader, writer = context.Pipe(duplex=False)
        process = context.Process(target=_work, args=(work, arguments, writer))
        process.start()
        writer.close()
        running.append((process, reader))
    results = [reader.recv() for _, reader in running]
    for process, _ in running:
        process.join()
    return results


def _work(work, arguments, writer):
    gc.freeze()
    gc.disable()
    loop = asyncio.SelectorEventLoop(selectors.SelectSelector())
    writer.send(loop.run_until_complete(work(*arguments)))


async def _send_share(calls, start):
    loop = asyncio.get_running_loop()
    pool = _Pool(loop)
    outcomes = []
    tasks = set()
    for scheduled in calls:
        wait = start + scheduled.at - loop.time()
        if wait > 0:
            await asyncio.sleep(wait)
        task = loop.create_task(_send_one(pool, scheduled, start, outcomes))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)
    return outcomes


async def _send_one(pool, scheduled, start, outcomes):
    answer = await pool.call(scheduled.address, _render(scheduled), scheduled.method)
    seconds = time.monotonic() - start - scheduled.at
    if answer is None:
        outcomes.append(Outcome(scheduled.tag, scheduled.at, seconds, 0))
        return
    status, headers = answer
    retry_after = headers.get(b"retry-after-ms")
    outcomes.append(
        Outcome(
            scheduled.tag,
            scheduled.at,
            seconds,
            status,
            int(headers.get(b"camphorshelf-code", 0)),
            headers.get(b"camphorshelf-ran", b"").decode(),
            None if retry_after is None else int(retry_after),
        )
    )


async def _run_closed(closed):
    loop = asyncio.get_running_loop()
    pool = _Pool(loop)
    scheduled = ScheduledCall(0, closed.address, closed.service, closed.path)
    data = _render(scheduled)
    start = loop.time()
    end = start + closed.seconds
    counts = [0, 0]

    async def repeat():
        while loop.time() < end:
            answer = await pool.call(closed.address, data, "GET")
            counts[answer is None or answer[0] != 200] += 1

    await asyncio.gather(*(repeat() for _ in range(closed.callers)))
    return Counts(counts[0], counts[1], loop.time() - start)


def _render(scheduled):
    lines = [f"{scheduled.method} {scheduled.path} HTTP/1.1", f"Host: {scheduled.service}.example"]
    lines += [f"{name}: {value}" for name, value in scheduled.headers]
    if scheduled.body or scheduled.method == "POST":
        lines.append(f"Content-Length: {len(scheduled.body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + scheduled.body


class _Pool:
    """Idle connections by address; the last used one is reused first."""

    def __init__(self, loop):
        self._loop = loop
        self._idle = defaultdict(list)

    async def call(self, address, data, method):
        idle = self._idle[address]
        connection = idle.pop() if idle else await self._open(address)
        if connection is None:
            return None
        try:
            answer = await asyncio.wait_for(connection.call(data, method), ANSWER_SECONDS)
        except (TimeoutError, ConnectionError):
            connection.transport.abort()
            return None
        if not connection.transport.is_closing():
            idle.append(connection)
        return answer

    async def _open(self, address):
        host, port = address.split(":")
        try:
            _, connection = await self._loop.create_connection(_Connection, host, int(port))
        except OSError:
            return None
        return connection


class _Connection(asyncio.Protocol):
    def __init__(self):
        self.transport = None
        self._future = None
        self._method = "GET"

    def connection_made(self, transport):
        self.transport = transport

    def call(self, data, method):
        self._method = method
        self._headers = {}
        self._parser = httptools.HttpResponseParser(self)
        self._future = asyncio.get_running_loop().create_future()
        if self.transport.is_closing():
            self.connection_lost(None)
        else:
            self.transport.write(data)
        return self._future

    def data_received(self, data):
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, AttributeError):
            self.transport.abort()

    def connection_lost(self, _error):
        if self._future is not None and not self._future.done():
            self._future.set_exception(ConnectionResetError("closed before the answer"))

    def on_header(self, name, value):
        self._headers[name.lower()] = value

    def on_headers_complete(self):
        if self._method == "HEAD":
            self.on_message_complete()

    def on_message_complete(self):
        if not self._parser.should_keep_alive():
            self.transport.close()
        if not self._future.done():
            self._future.set_result((self._parser.get_status_code(), self._headers))
