"""Tells a target that died from one that cut an answer short."""

from collections import deque

from .streams import dial

# A dying process loses all its connections and its listening socket within a millisecond or
# so; the calls of one death are gathered this long before the target is dialled.
_GATHER_SECONDS = 0.01
# A call that its caller gave up may crash the target a little later all the same.
_ABANDONED_SECONDS = 10.0
_MAX_ABANDONED = 32


class CrashWatch:
    """Holds back the answers of lost calls until it is known whether the target died.

    A lost connection alone is no crash: a target may close one after an error. Refused
    connections right after it are: nobody listens any more.
    """

    def __init__(self, loop, quarantine):
        self._loop = loop
        self._quarantine = quarantine
        self._lost = []
        self._abandoned = deque(maxlen=_MAX_ABANDONED)
        self.address = None

    def note_lost(self, work, reason):
        """Take in a call whose connection was lost in the middle.

        :param work: the :class:`~camphorshelf_node.work.Work`.
        :param reason: what happened.
        :return: None.
        """
        self._lost.append((work, reason))
        if len(self._lost) == 1:
            self._loop.call_later(_GATHER_SECONDS, self._dial)

    def note_abandoned(self, call):
        """Take in a call that was given up while the target worked on it.

        :param call: the :class:`~camphorshelf_core.messages.CallMessage`.
        :return: None.
        """
        self._abandoned.append((call, self._loop.now() + _ABANDONED_SECONDS))

    def _dial(self):
        lost, self._lost = self._lost, []
        stream = dial(self._loop, self.address)

        def on_connect():
            stream.on_close = None
            stream.close()
            self._resolve(lost, set())

        def on_close():
            self._resolve(lost, self._quarantine.note_crash(self._suspects(lost)))

        stream.on_connect = on_connect
        stream.on_close = on_close

    def _suspects(self, lost):
        now = self._loop.now()
        abandoned = [call for call, until in self._abandoned if until > now]
        self._abandoned.clear()
        return [work.call for work, _ in lost] + abandoned

    def _resolve(self, lost, blamed):
        for work, reason in lost:
            work.fail(work.call in blamed, reason)
