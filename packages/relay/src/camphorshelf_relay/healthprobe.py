"""Asks the target beside the node for its health and load, more often where they are in doubt."""

from typing import NamedTuple

from camphorshelf_core.calls import Request

from .targetconnection import Answered

# Short against the time for which a host's speed holds. Answers to requests carry the same load
# report, so a busy target is probed less.
_PROBE_SECONDS = 0.05
_TIMEOUT_SECONDS = 0.25
_LEAST_PAUSE_SECONDS = 0.005
# Asked less while nothing is known of the configuration or the target is down: a connection that
# is refused costs as much as one that is not.
_DOWN_SECONDS = 0.2
# The health path answers at once. Two questions without an answer are half a second's silence.
_SILENT_PROBES = 2
# A target may turn cold at any moment, and only its health says so.
_COLD_SECONDS = 0.1


class ProbeHandlers(NamedTuple):
    """What becomes of a probe, and what decides when the next one is due.

    :param on_answer: takes the :class:`~camphorshelf_relay.targetconnection.Answered`.
    :param on_lost: called when the connection broke off.
    :param on_unreachable: called when the target takes no connection, or says nothing.
    :param is_down: tells whether the target takes no connections.
    :param is_doubted: tells whether it has yet to say whether it is cold.
    """

    on_answer: object
    on_lost: object
    on_unreachable: object
    is_down: object
    is_doubted: object


class HealthProbe:
    """The probes of one target.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param link: the :class:`~camphorshelf_relay.targetlink.TargetLink`.
    :param handlers: the :class:`ProbeHandlers`.
    """

    def __init__(self, loop, settings, link, handlers):
        self._loop = loop
        self._settings = settings
        self._link = link
        self._handlers = handlers
        self._path = None
        self._may_be_cold = False
        self._load_at = 0.0
        self._sent_at = 0.0
        self._is_under_way = False
        self._silent = 0
        self.counts = {"probe": 0, "silent_probe": 0}
        self._timer = loop.call_later(_PROBE_SECONDS, self._review)

    def take_settings(self, settings):
        """Take changed bounds.

        :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
        :return: None.
        """
        self._settings = settings

    def configure(self, path, may_be_cold):
        """Take what is configured.

        :param path: the health path; None to ask nothing.
        :param may_be_cold: whether it matters at once when the target turns cold.
        :return: None.
        """
        self._path = path
        self._may_be_cold = may_be_cold
        self.ask_if_doubted()

    def ask_if_doubted(self):
        """Ask at once, where it is not known whether the target is cold and that matters.

        :return: None.
        """
        if self._may_be_cold and self._handlers.is_doubted():
            self._timer.cancel()
            self._review()

    def note_load_told(self):
        """Take in that an answer to a request has told the load.

        :return: None.
        """
        self._load_at = self._loop.now()

    def _review(self):
        wait = _PROBE_SECONDS
        if not self._is_under_way and self._path is not None:
            pause = _DOWN_SECONDS if self._handlers.is_down() else _PROBE_SECONDS
            pause = max(pause, 1 / self._settings.probes_per_s)
            wait = self._due_at(pause) - self._loop.now()
            if wait <= 0:
                self._send(self._loop.now())
                wait = pause
        self._timer = self._loop.call_later(max(_LEAST_PAUSE_SECONDS, wait), self._review)

    def _due_at(self, pause):
        # Answers to requests tell the load too; the next probe is due after the last of them.
        due_at = max(self._load_at, self._sent_at) + pause
        if not self._may_be_cold:
            return due_at
        if self._handlers.is_doubted() and not self._handlers.is_down():
            return self._sent_at + 1 / self._settings.probes_per_s
        return min(due_at, self._sent_at + max(pause, _COLD_SECONDS))

    def _send(self, now):
        self._is_under_way = True
        self._sent_at = now
        self.counts["probe"] += 1
        host = self._settings.addresses.target.text
        request = Request("GET", self._path.encode(), ((b"host", host.encode()),), b"")
        timer = self._loop.call_later(_TIMEOUT_SECONDS, lambda: self._on_silence(abort))
        abort = self._link.send(request, "", True, lambda result: self._on_result(result, timer))

    def _on_silence(self, abort):
        abort()
        # Connections can go silent all at once while new ones work: one that says nothing speaks
        # against all kept ones, and the next question finds out by a new one.
        self._link.close_idle()
        self._is_under_way = False
        self._silent += 1
        self.counts["silent_probe"] += 1
        if self._silent >= _SILENT_PROBES:
            self._handlers.on_unreachable()

    def _on_result(self, result, timer):
        timer.cancel()
        self._is_under_way = False
        if isinstance(result, Answered):
            self._silent = 0
            self._handlers.on_answer(result)
        elif result.sent:
            self._handlers.on_lost()
        else:
            self._handlers.on_unreachable()
