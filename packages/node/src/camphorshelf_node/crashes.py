"""Distinguishes a crashed target from one that only closed a connection."""

from collections import deque

from .streams import dial

# The connections and the listening socket of a crashed process close within about a millisecond.
# Lost calls are collected for this time before the target is checked.
_COLLECT_SECONDS = 0.01
# A call may still crash the target after it was abandoned.
_ABANDONED_CALL_SECONDS = 10.0
_MAX_ABANDONED_CALLS = 32


class CrashDetector:
    """Delays the results of lost calls until it is known whether the target has crashed.

    A lost connection alone is no crash: a target may close a connection after an error. If it also
    refuses a new connection right afterwards, its process has ended.
    """

    def __init__(self, loop, quarantine):
        self._loop = loop
        self._quarantine = quarantine
        self._lost_calls = []
        self._abandoned_calls = deque(maxlen=_MAX_ABANDONED_CALLS)
        self.address = None

    def record_lost(self, local_call, reason):
        """Record a call whose connection was lost before the response was complete.

        :param local_call: the :class:`~camphorshelf_node.localcall.LocalCall`.
        :param reason: how the connection was lost.
        :return: None.
        """
        self._lost_calls.append((local_call, reason))
        if len(self._lost_calls) == 1:
            self._loop.call_later(_COLLECT_SECONDS, self._check_target)

    def record_abandoned(self, call):
        """Record a call that was abandoned while the target was running it.

        :param call: the :class:`~camphorshelf_core.messages.CallMessage`.
        :return: None.
        """
        self._abandoned_calls.append((call, self._loop.now() + _ABANDONED_CALL_SECONDS))

    def _check_target(self):
        lost_calls, self._lost_calls = self._lost_calls, []
        stream = dial(self._loop, self.address)

        def on_connect():
            stream.on_close = None
            stream.close()
            self._resolve(lost_calls, set())

        def on_close():
            self._resolve(
                lost_calls, self._quarantine.record_crash(self._take_suspect_calls(lost_calls))
            )

        stream.on_connect = on_connect
        stream.on_close = on_close

    def _take_suspect_calls(self, lost_calls):
        """Return the lost calls and the recently abandoned ones, and forget the latter."""
        now = self._loop.now()
        abandoned_calls = [call for call, expires_at in self._abandoned_calls if expires_at > now]
        self._abandoned_calls.clear()
        return [local_call.call for local_call, _ in lost_calls] + abandoned_calls

    def _resolve(self, lost_calls, blamed_calls):
        for local_call, reason in lost_calls:
            local_call.fail(local_call.call in blamed_calls, reason)
