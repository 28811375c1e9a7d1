"""Requesters of one machine, as PROTOCOL.md describes them, and the platform's readiness checks."""

import threading
import time
from typing import NamedTuple

from standins.caller import render

_MISSES = 2
_PAUSE_SECONDS = 0.02
_ERROR_PAUSE_SECONDS = 0.2


class Attempt(NamedTuple):
    """One attempt of a requester.

    :param request_id: its id.
    :param name: the host that it was sent to.
    :param path: the path.
    :param sent_at: when its last byte was sent, in Unix seconds; None if it could not be sent.
    :param ended_at: when the answer or the end of the connection came.
    :param result: the status, or the name of the error.
    :param answered_before: how many answers its connection had carried before.
    """

    request_id: str
    name: str
    path: str
    sent_at: float | None
    ended_at: float
    result: object
    answered_before: int


class Platform:
    """Asks each node once a second whether it is ready, and says which hosts get new work.

    :param deployment: the deployment.
    :param zones: the zone of each host, by name.
    """

    def __init__(self, deployment, zones):
        self._deployment = deployment
        self._zones = zones
        self._misses = dict.fromkeys(zones, 0)
        self._stopped = threading.Event()
        self.questions = []
        self._threads = [threading.Thread(target=self._ask, args=(name,)) for name in zones]
        for thread in self._threads:
            thread.start()

    def gives_work(self, name):
        """Tell whether the requesters of a host get new work.

        They get none after two misses, unless fewer than half of the zone's nodes are in.
        """
        zone = [other for other, one in self._zones.items() if one == self._zones[name]]
        inside = [other for other in zone if self._misses[other] < _MISSES]
        return name in inside or len(inside) * 2 < len(zone)

    def stop(self):
        """Stop asking."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _ask(self, name):
        while not self._stopped.wait(1.0):
            is_ready = self._deployment.is_ready(name)
            self._misses[name] = 0 if is_ready else self._misses[name] + 1
            self.questions.append((time.time(), name, is_ready))


class Requesters:
    """Threads that send requests over connections that they keep.

    :param deployment: the deployment.
    :param platform: the :class:`Platform`.
    """

    def __init__(self, deployment, platform):
        self._deployment = deployment
        self._platform = platform
        self._stopped = threading.Event()
        self._threads = []
        self._lock = threading.Lock()
        self._count = 0
        self.attempts = []

    def start(self, name, count, method, path, deadline_ms, spread_s=0.1, body=b"", pause_s=0.0):
        """Start requesters on a host; each sends one request after the other.

        :param spread_s: the time between the starts of two of them.
        :param body: the body of each request.
        :param pause_s: the time between an answer and the next request.
        """
        for number in range(count):
            arguments = (name, method, path, deadline_ms, number * spread_s, body, pause_s)
            thread = threading.Thread(target=self._run, args=arguments)
            self._threads.append(thread)
            thread.start()

    def stop(self):
        """Send nothing more, and wait for the outstanding answers."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _next_id(self):
        with self._lock:
            self._count += 1
            return f"q{self._count:05d}"

    def _run(self, name, method, path, deadline_ms, first_pause_s, body, pause_s):
        caller, answered = None, 0
        self._stopped.wait(first_pause_s)
        while not self._stopped.is_set():
            if not self._platform.gives_work(name):
                caller = caller and caller.close()
                time.sleep(_PAUSE_SECONDS)
                continue
            request_id, sent_at = self._next_id(), None
            headers = (("Request-Id", request_id), ("Deadline-Ms", str(deadline_ms)))
            try:
                if caller is None:
                    caller, answered = self._deployment.connect(name), 0
                caller.send(render(method, "shop", path, headers, body))
                sent_at = time.time()
                response = caller.read(method)
                result = response.status
                must_close = response.headers.get("connection") == "close"
            except (OSError, EOFError) as error:
                result, must_close, response = type(error).__name__, True, None
            ended_at = time.time()
            self.attempts.append(
                Attempt(request_id, name, path, sent_at, ended_at, result, answered)
            )
            answered += 1
            if must_close:
                caller = caller and caller.close()
            if response is None:
                time.sleep(_ERROR_PAUSE_SECONDS)
            elif result != 200:
                retry_after = float(response.headers.get("retry-after", 0.0))
                time.sleep(max(_PAUSE_SECONDS, min(0.5, retry_after)))
            self._stopped.wait(pause_s)
