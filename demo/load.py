"""Callers of the demo, which continuously send lookups and keyed orders and record the answers."""

import itertools
import threading
import time

from hdrh.histogram import HdrHistogram

from standins.caller import Caller

_HIGHEST_MICROSECONDS = 60_000_000
_PAUSE_SECONDS = 0.015
_MAX_ATTEMPTS = 5


class CallStats:
    """Counts and latencies of one kind of call.

    ``last_by_target`` has the monotonic time of each target's last successful answer.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self.calls = 0
        self.failed = 0
        self.resent = 0
        self.latencies = HdrHistogram(1, _HIGHEST_MICROSECONDS, 3)
        self.last_by_target = {}

    def record(self, seconds, answer, attempts):
        """Record the last answer to a call.

        :param seconds: the time from the first attempt to that answer.
        :param answer: the :class:`standins.caller.Response`.
        :param attempts: the number of attempts.
        """
        with self._lock:
            self.calls += 1
            self.resent += attempts - 1
            if answer.status != 200:
                self.failed += 1
                return
            self.latencies.record_value(max(1, int(seconds * 1_000_000)))
            self.last_by_target[answer.body.split()[0].decode()] = time.monotonic()

    def added_ms(self, direct, percentile):
        """Compare a latency percentile with that of direct calls.

        :param direct: the :class:`CallStats` of the direct calls.
        :param percentile: the percentile, from 0 to 100.
        :return: the added latency in milliseconds.
        """
        latencies = [
            stats.latencies.get_value_at_percentile(percentile) for stats in (self, direct)
        ]
        return (latencies[0] - latencies[1]) / 1000


class Load:
    """Threads that send calls until they are stopped."""

    def __init__(self):
        self._stopped = threading.Event()
        self._threads = []
        self._numbers = itertools.count(1)
        self.lookups = CallStats()
        self.orders = CallStats()
        self.direct = CallStats()

    def add_lookups(self, node):
        """Start a thread that sends lookups through a node and, to compare, to its target."""
        self._start(lambda callers: self._look_up(callers, node))

    def add_orders(self, node):
        """Start a thread that places orders with idempotency keys through a node."""
        self._start(lambda callers: self._order(callers, node))

    def stop(self):
        """Stop the threads and wait for the calls in flight."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _start(self, send):
        thread = threading.Thread(target=self._run, args=(send,))
        self._threads.append(thread)
        thread.start()

    def _run(self, send):
        callers = {}
        while not self._stopped.wait(_PAUSE_SECONDS):
            send(callers)
        for caller in callers.values():
            caller.close()

    def _look_up(self, callers, node):
        number = next(self._numbers)
        self._call(callers, node.callers, self.lookups, "GET", "counter", f"/tags/{number}")
        self._call(callers, node.target, self.direct, "GET", "counter", f"/tags/{number}")

    def _order(self, callers, node):
        key = f"order-{next(self._numbers)}"
        headers = (("Idempotency-Key", key),)
        path = f"/orders?key={key}"
        self._call(callers, node.callers, self.orders, "POST", "orders", path, headers, b"tags")

    def _call(self, callers, address, stats, method, service, path, headers=(), body=b""):
        started = time.monotonic()
        for attempts in range(1, _MAX_ATTEMPTS + 1):
            if address not in callers:
                callers[address] = Caller(address)
            answer = callers[address].request(method, service, path, headers, body)
            # Only a call that did not run may be sent again; any other answer is recorded as it is.
            if answer.headers.get("camphorshelf-ran") != "NOT_RUN" or attempts == _MAX_ATTEMPTS:
                break
            time.sleep(int(answer.headers.get("retry-after-ms", 10)) / 1000)
        stats.record(time.monotonic() - started, answer, attempts)
