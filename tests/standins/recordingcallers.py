"""Callers that send requests over kept connections and record what they get."""

import time

from standins.advertised import ADVERTISED_HEADERS, Sent
from standins.callerthreads import CallerThreads

_RETRY_SECONDS = 0.02


class RecordingCallers:
    """Callers of some hosts, each with a connection that it uses until the host closes it.

    :param deployment: the :class:`~standins.relays.RelayDeployment`.
    :param names: the hosts.
    :param line: the method and the path of the requests.
    :param count: how many callers each host has.
    """

    def __init__(self, deployment, names, line, count=3):
        self._deployment = deployment
        self._method, _, self._path = line.partition(" ")
        self.sent = []
        self.statuses = []
        self._threads = CallerThreads(self._run, [(name,) for name in names for _ in range(count)])
        self._threads.start()

    def stop(self):
        """Stop sending and wait for the outstanding responses."""
        self._threads.stop()

    def _run(self, name):
        caller = None
        while not self._threads.is_stopped:
            request_id, sent_at = self._deployment.next_id(), time.time()
            try:
                if caller is None:
                    caller = self._deployment.connect(name)
                response = self._send(caller, request_id)
            except (OSError, EOFError) as error:
                self._record(request_id, name, sent_at, {}, type(error).__name__)
                caller = caller and caller.close()
                time.sleep(_RETRY_SECONDS)
                continue
            self._record(request_id, name, sent_at, response.headers, response.status)
            if response.status == 503:
                time.sleep(min(0.2, float(response.headers.get("retry-after", _RETRY_SECONDS))))
            if response.headers.get("connection") == "close":
                caller = caller.close()

    def _send(self, caller, request_id):
        headers = (("Request-Id", request_id), ("Deadline-Ms", "2000"))
        return caller.request(self._method, "shop", self._path, headers)

    def _record(self, request_id, name, sent_at, headers, status):
        advertised = {key: headers[key] for key in ADVERTISED_HEADERS if key in headers}
        self.sent.append(Sent(request_id, name, sent_at, time.time(), advertised))
        self.statuses.append(status)
