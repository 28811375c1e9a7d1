"""Callers of the demo: lookups and keyed orders without a pause, each answer noted."""

import itertools
import threading
import time

from hdrh.histogram import HdrHistogram

from standins.caller import Caller

_HIGHEST_MICROSECONDS = 60_000_000
_PAUSE_SECONDS = 0.015
_TRIES = 5


class Tally:
    """What the callers saw, of one kind of call."""

    def __init__(self):
        self._lock = threading.Lock()
        self.calls = 0
        self.failed = 0
        self.sent_again = 0
        self.times = HdrHistogram(1, _HIGHEST_MICROSECONDS, 3)
        self.last_by_target = {}

    def note(self, seconds, answer, tries):
        """Note one call's last answer."""
        with self._lock:
            self.calls += 1
            self.sent_again += tries - 1
            if answer.status != 200:
                self.failed += 1
                return
            self.times.record_value(max(1, int(seconds * 1_000_000)))
            self.last_by_target[answer.body.split()[0].decode()] = time.monotonic()

    def added_ms(self, direct, percentile):
        """Tell how much longer than direct calls this kind takes."""
        both = [one.times.get_value_at_percentile(percentile) for one in (self, direct)]
        return (both[0] - both[1]) / 1000


class Load:
    """Threads that call until they are stopped."""

    def __init__(self):
        self._stopped = threading.Event()
        self._threads = []
        self._numbers = itertools.count(1)
        self.lookups = Tally()
        self.orders = Tally()
        self.direct = Tally()

    def add_lookups(self, node):
        """Look tags up through a node, and one in two straight at a target for comparison."""
        self._start(lambda callers: self._look_up(callers, node))

    def add_orders(self, node):
        """Place orders with a key through a node."""
        self._start(lambda callers: self._order(callers, node))

    def stop(self):
        """Stop, and wait for the calls in flight."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _start(self, act):
        thread = threading.Thread(target=self._run, args=(act,))
        self._threads.append(thread)
        thread.start()

    def _run(self, act):
        callers = {}
        while not self._stopped.wait(_PAUSE_SECONDS):
            act(callers)
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

    def _call(self, callers, address, tally, method, service, path, headers=(), body=b""):
        started = time.monotonic()
        for tries in range(1, _TRIES + 1):
            if address not in callers:
                callers[address] = Caller(address)
            answer = callers[address].request(method, service, path, headers, body)
            # Only what truly did not run may be sent again; anything else counts as it is.
            if answer.headers.get("camphorshelf-ran") != "NOT_RUN" or tries == _TRIES:
                break
            time.sleep(int(answer.headers.get("retry-after-ms", 10)) / 1000)
        tally.note(time.monotonic() - started, answer, tries)
