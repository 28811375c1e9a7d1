"""Callers of the fault soak; each keeps a connection to its host until the host's process ends."""

import random
import time
from typing import NamedTuple

from soak.keys import make_headers
from standins.advertised import ADVERTISED_HEADERS, Sent
from standins.callerthreads import CallerThreads

_RETRY_SECONDS = 0.02
_MAX_RETRY_AFTER_SECONDS = 0.2
_THINK_SECONDS = 0.004
# Only some callers keep on after a refusal without a pause, as some do in reality.
_PATIENT_SHARE = 0.8


class Outcome(NamedTuple):
    """The response or error that a caller got to one request.

    ``sent`` is the request's :class:`~standins.advertised.Sent`, ``key`` the key that it carried.
    """

    request_id: str
    kind: str
    path: str
    status: object
    body: bytes
    sent: Sent
    key: object


class SoakCallers:
    """Callers of all hosts, as threads.

    :param deployment: the :class:`~standins.relays.RelayDeployment`.
    :param count: how many callers each host has.
    :param keys: the :class:`~soak.keys.KeyHistory`.
    """

    def __init__(self, deployment, count, keys):
        self._deployment = deployment
        self._keys = keys
        self.outcomes = []
        callers = [(name, number) for number in range(count) for name in deployment.names]
        self._threads = CallerThreads(self._run, callers)
        self._threads.start()

    def stop(self):
        """Stop sending and wait for the outstanding responses."""
        self._threads.stop()

    def _run(self, name, number):
        rng = random.Random(f"{name} {number}")
        key_rng = random.Random(f"keys {name} {number}")
        is_patient = rng.random() < _PATIENT_SHARE
        caller = None
        while not self._threads.is_stopped:
            request_id = self._deployment.next_id()
            kind = rng.choice(["look", "look", "order"])
            path = f"/{kind}/{request_id}?work_ms={rng.choice([1, 5, 20, 100])}"
            key = self._keys.pick(key_rng)
            headers = make_headers(key, key_rng)
            sent_at = time.time()
            try:
                if caller is None:
                    caller = self._deployment.connect(name)
                response = _send(caller, kind, path, request_id, headers)
            except (OSError, EOFError) as error:
                sent = Sent(request_id, name, sent_at, time.time(), {})
                self._record(Outcome(request_id, kind, path, type(error).__name__, b"", sent, key))
                caller = caller and caller.close()
                time.sleep(_RETRY_SECONDS)
                continue
            advertised = {
                key: response.headers[key] for key in ADVERTISED_HEADERS if key in response.headers
            }
            sent = Sent(request_id, name, sent_at, time.time(), advertised)
            self._record(Outcome(request_id, kind, path, response.status, response.body, sent, key))
            if response.headers.get("connection") == "close":
                caller = caller.close()
            time.sleep(_pause_s(response) if is_patient else _THINK_SECONDS)

    def _record(self, outcome):
        self.outcomes.append(outcome)


def _send(caller, kind, path, request_id, headers):
    headers = (("Request-Id", request_id), ("Deadline-Ms", "2000"), *headers)
    return caller.request("POST" if kind == "order" else "GET", "shop", path, headers)


def _pause_s(response):
    retry_after_s = float(response.headers.get("retry-after", 0.0))
    return max(_THINK_SECONDS, min(_MAX_RETRY_AFTER_SECONDS, retry_after_s))
