"""Drains a leaving target: closes its gate, waits until it is empty and notifies it."""

from camphorshelf_core.calls import Request
from camphorshelf_core.drain import Drain, Phase

from .httpclient import RequestFailure
from .streams import dial

_STEP_INTERVAL_SECONDS = 0.05
_PROBE_INTERVAL_SECONDS = 0.25
_HEADERS = ((b"host", b"target"),)
_MIN_SERVER_ERROR_STATUS = 500


class Drainer:
    """Carries out a :class:`~camphorshelf_core.drain.Drain`; idle while the target takes calls."""

    def __init__(self, loop, settings, admission_controller):
        self._loop = loop
        self._settings = settings
        self._admission_controller = admission_controller
        self._drain = Drain()
        self._instance = None
        self._announced_at = 0.0
        self._is_step_scheduled = False
        self._next_contact_at = 0.0
        self.client = None

    @property
    def closed(self):
        """Whether the target gets no new calls."""
        return self._drain.closed

    @property
    def phase(self):
        """The target's :class:`~camphorshelf_core.drain.Phase`."""
        return self._drain.phase(self._in_flight())

    def set_leaving(self, source, leaving):
        """Record whether a source wants the target to leave.

        :param source: the :class:`~camphorshelf_core.drain.Source`.
        :param leaving: True to leave, False to stay.
        :return: None.
        """
        self._drain.set_leaving(source, leaving)
        self._admission_controller.update_gate()
        self._schedule_step()

    def record_announced(self, instance):
        """Record that the target announced itself.

        :param instance: an id of the target's process; None if the target did not send one.
        :return: None.
        """
        self._announced_at = self._loop.now()
        if instance != self._instance:
            if self._instance is not None:
                self._drain.record_gone()
            self._instance = instance
        self._drain.record_announced()
        self._admission_controller.update_gate()
        self._schedule_step()

    def _in_flight(self):
        return self._admission_controller.gate.in_flight

    def _schedule_step(self):
        if self._drain.closed and not self._is_step_scheduled:
            self._is_step_scheduled = True
            self._loop.call_later(0, self._step)

    def _step(self):
        self._is_step_scheduled = False
        now = self._loop.now()
        phase = self.phase
        if phase is Phase.GONE or not self._drain.closed:
            return
        if phase is Phase.EMPTY and now - self._announced_at > self._settings.silent_ms / 1000:
            self._on_gone()
            return
        if now >= self._next_contact_at:
            self._contact_target(now)
        self._is_step_scheduled = True
        self._loop.call_later(_STEP_INTERVAL_SECONDS, self._step)

    def _contact_target(self, now):
        if self.client is None:
            return
        if self._drain.must_notify(self._in_flight()):
            self._next_contact_at = now + self._settings.retry_ms / 1000
            request = Request("POST", self._settings.path.encode(), _HEADERS, b"")
            self.client.send(request, self._on_notified)
        elif self._drain.is_notified:
            self._next_contact_at = now + _PROBE_INTERVAL_SECONDS
            self._probe()

    def _on_notified(self, result):
        if isinstance(result, RequestFailure):
            if not result.sent:
                self._on_gone()
        elif result.status < _MIN_SERVER_ERROR_STATUS and self._drain.must_notify(
            self._in_flight()
        ):
            # A target that does not serve this path responds with 404. It learns that it is empty
            # from the response to its next announcement.
            self._drain.record_notified()
            self._admission_controller.log.info("the target is empty and has been notified")

    def _probe(self):
        stream = dial(self._loop, self._admission_controller.crashes.address)

        def on_connect():
            stream.on_close = None
            stream.close()

        stream.on_connect = on_connect
        stream.on_close = self._on_gone

    def _on_gone(self):
        if self._drain.closed:
            self._drain.record_gone()
            self._admission_controller.update_gate()
            self._admission_controller.log.info("the leaving target has stopped")
