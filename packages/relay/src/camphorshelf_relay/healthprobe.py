"""Probes the health and the load of the local target, more often while its state is uncertain."""

from typing import NamedTuple

from camphorshelf_core.calls import Request

from .targetconnection import TargetResponse

# Default interval between probes. A host's speed changes far more slowly than this. Responses to
# requests carry the same load report as those to probes, so a busy target is probed less often.
_PROBE_INTERVAL_SECONDS = 0.05
_TIMEOUT_SECONDS = 0.25
_MAX_BODY_BYTES = 65_536
_MIN_TIMER_SECONDS = 0.005
# Longer interval while the target is down, because a refused connection costs as much as an
# accepted one.
_DOWN_INTERVAL_SECONDS = 0.2
# Consecutive probes without a response after which the target counts as unreachable. The health
# path answers immediately, so two timeouts mean that the target was silent for half a second.
_MAX_SILENT_PROBES = 2
# Longest interval for targets that can be cold. A target may turn cold at any time and reports that
# only in responses to probes.
_COLD_INTERVAL_SECONDS = 0.1


class ProbeHandlers(NamedTuple):
    """Callbacks for the results of probes, and functions that determine the next probe's time.

    :param on_response: called with a :class:`~camphorshelf_relay.targetconnection.TargetResponse`.
    :param on_lost: called when the connection broke after the probe was sent.
    :param on_unreachable: called when the target accepts no connection or several probes in a row
        timed out.
    :param is_down: returns whether the target is known to accept no connections.
    :param is_cold_state_unknown: returns whether it is unknown if the target is cold.
    """

    on_response: object
    on_lost: object
    on_unreachable: object
    is_down: object
    is_cold_state_unknown: object


class HealthProbe:
    """Sends health probes to one target.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param pool: the :class:`~camphorshelf_relay.targetpool.TargetConnectionPool`.
    :param handlers: the :class:`ProbeHandlers`.
    """

    def __init__(self, loop, settings, pool, handlers):
        self._loop = loop
        self._settings = settings
        self._pool = pool
        self._handlers = handlers
        self._path = None
        self._may_be_cold = False
        self._load_reported_at = 0.0
        self._sent_at = 0.0
        self._is_in_flight = False
        self._silent_probes = 0
        self.counts = {"probe": 0, "silent_probe": 0}
        self._timer = loop.call_later(_PROBE_INTERVAL_SECONDS, self._probe_if_due)

    def apply_settings(self, settings):
        """Install reloaded settings.

        :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
        :return: None.
        """
        self._settings = settings

    def configure(self, path, may_be_cold):
        """Set what is probed.

        :param path: the health path; None to send no probes.
        :param may_be_cold: whether requests to a cold target are limited, so that a cold target has
            to be detected quickly.
        :return: None.
        """
        self._path = path
        self._may_be_cold = may_be_cold
        self.probe_if_cold_state_unknown()

    def probe_if_cold_state_unknown(self):
        """Send a probe as early as the rate limit allows if the target may have turned cold.

        That is the case if the service's targets can be cold and this target hasn't reported
        whether it is.

        :return: None.
        """
        if self._may_be_cold and self._handlers.is_cold_state_unknown():
            self._timer.cancel()
            self._probe_if_due()

    def record_load_report(self):
        """Record that a response carried a load report.

        :return: None.
        """
        self._load_reported_at = self._loop.now()

    def _probe_if_due(self):
        wait, is_due = _PROBE_INTERVAL_SECONDS, False
        if not self._is_in_flight and self._path is not None:
            interval = (
                _DOWN_INTERVAL_SECONDS if self._handlers.is_down() else _PROBE_INTERVAL_SECONDS
            )
            interval = max(interval, 1 / self._settings.probes_per_s)
            wait = self._due_at(interval) - self._loop.now()
            is_due = wait <= 0
            wait = interval if is_due else wait
        self._timer = self._loop.call_later(max(_MIN_TIMER_SECONDS, wait), self._probe_if_due)
        if is_due:
            self._send(self._loop.now())

    def _due_at(self, interval):
        # The interval starts at the last load report, which may have come with the response to a
        # request.
        due_at = max(self._load_reported_at, self._sent_at) + interval
        if not self._may_be_cold:
            return due_at
        if self._handlers.is_cold_state_unknown() and not self._handlers.is_down():
            return self._sent_at + 1 / self._settings.probes_per_s
        return min(due_at, self._sent_at + max(interval, _COLD_INTERVAL_SECONDS))

    def _send(self, now):
        self._is_in_flight = True
        self._sent_at = now
        self.counts["probe"] += 1
        host = self._settings.addresses.target.text
        request = Request("GET", self._path.encode(), ((b"host", host.encode()),), b"")
        timer = self._loop.call_later(_TIMEOUT_SECONDS, lambda: self._on_timeout(abort))
        abort = self._pool.send(
            request,
            "",
            True,
            lambda result: self._on_result(result, timer),
            max_body_bytes=_MAX_BODY_BYTES,
        )

    def _on_timeout(self, abort):
        abort()
        # All open connections can hang at once while new ones work. So a timeout closes the idle
        # ones too, and the next probe uses a new connection.
        self._pool.close_idle()
        self._is_in_flight = False
        self._silent_probes += 1
        self.counts["silent_probe"] += 1
        if self._silent_probes >= _MAX_SILENT_PROBES:
            self._handlers.on_unreachable()

    def _on_result(self, result, timer):
        timer.cancel()
        self._is_in_flight = False
        if isinstance(result, TargetResponse):
            self._silent_probes = 0
            self._handlers.on_response(result)
        elif result.sent:
            self._handlers.on_lost()
        else:
            self._handlers.on_unreachable()
