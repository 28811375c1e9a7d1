"""Tells a target that died from one that cut an answer short."""

from collections import deque

from .streams import dial

# A dying process loses all its connections and its listening socket within a millisecond or
# so; the calls of one death are gathered this long before the target is dialled.
_COLLECT_SECONDS = 0.01
# A call that its caller gave up may crash the target a little later all the same.
_ABANDONED_CALL_SECONDS = 10.0
_MAX_ABANDONED_CALLS = 32


class CrashDetector:
    """Holds back the answers of lost calls until it is known whether the target died.

    A lost connection alone is no crash: a target may close one after an error. Refused
    connections right after it are: nobody listens any more.
    """

    def __init__(self, loop, quarantine):
        self._loop = loop
        self._quarantine = quarantine
        self._lost_calls = []
        self._abandoned_calls = deque(maxlen=_MAX_ABANDONED_CALLS)
        self.address = None

    def record_lost(self, local_call, reason):
        """Take in a call whose connection was lost in the middle.

        :param work: the :class:`~camphorshelf_node.work.Work`.
        :param reason: what happened.
        :return: None.
        """
        self._lost_calls.append((local_call, reason))
        if len(self._lost_calls) == 1:
            self._loop.call_later(_COLLECT_SECONDS, self._check_target)

    def record_abandoned(self, call):
        """Take in a call that was given up while the target worked on it.

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
                lost_calls, self._quarantine.record_crash(self._suspect_calls(lost_calls))
            )

        stream.on_connect = on_connect
        stream.on_close = on_close

    def _suspect_calls(self, lost_calls):
        now = self._loop.now()
        abandoned_calls = [call for call, expires_at in self._abandoned_calls if expires_at > now]
        self._abandoned_calls.clear()
        return [local_call.call for local_call, _ in lost_calls] + abandoned_calls

    def _resolve(self, lost_calls, blamed_calls):
        for local_call, reason in lost_calls:
            local_call.fail(local_call.call in blamed_calls, reason)
