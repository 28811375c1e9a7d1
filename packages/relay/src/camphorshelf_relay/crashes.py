"""Requests under which targets crash: noticed here, told to the others, refused everywhere.

Load pattern: one request that crashes each target that begins to run it, sent again and again by
its caller. Without a memory of it a service of three targets is gone after three tries.
"""

from typing import NamedTuple

from camphorshelf_core.quarantine import Crashes, Quarantine, Standing, fingerprint

# A crash is noticed by the broken connections first and by a refused one, or by another process
# at the address, a moment later; what was lost longer before has nothing to do with it.
_NOTICED_SECONDS = 1.5
_TOLD_CRASHES = 4
_TOLD_SECONDS = 60.0


class CrashTerms(NamedTuple):
    """When a request is refused for its crashes.

    Two crashes under the same request are no chance: a target crashes a few times a day and has
    some seven of thousands of requests running. It is forgiven after a time, for whatever is wrong
    with it may have been mended in the target.
    """

    crashes: int = 2
    suspicion_ms: int = 60_000
    hold_ms: int = 60_000
    remembered: int = 1_024


class CrashWatch:
    """What this node knows of requests that crash targets."""

    def __init__(self, loop, name, log):
        self._loop = loop
        self._name = name
        self._log = log
        self._quarantine = Quarantine(CrashTerms(), name)
        self._lost = []
        self._own = {}

    @property
    def told(self):
        """Pairs of fingerprint and count of the crashes that were noticed here lately."""
        now = self._loop.now()
        recent = [name for name, at in self._own.items() if now - at < _TOLD_SECONDS]
        return tuple(
            (name, self._quarantine.evidence(name)[0][self._name].count)
            for name in recent[-_TOLD_CRASHES:]
            if self._name in self._quarantine.evidence(name)[0]
        )

    def name(self, message):
        """Give the fingerprint of a request.

        :param message: the :class:`~camphorshelf_core.messages.RelayMessage`.
        :return: the text.
        """
        return fingerprint(message.service, message.method, message.path, message.body)

    def is_refused(self, name):
        """Tell whether a request may not run.

        :param name: its fingerprint.
        :return: True or False.
        """
        return self._quarantine.standing(name, self._loop.now()) is Standing.REFUSED

    def note_lost(self, name):
        """Take in that the target broke off while it had a request.

        :param name: the request's fingerprint.
        :return: None.
        """
        now = self._loop.now()
        self._lost = [one for one in self._lost if now - one[1] < _NOTICED_SECONDS]
        self._lost.append((name, now))

    def note_answered(self, name, started):
        """Take in that a request ran to its answer.

        :param name: the request's fingerprint.
        :param started: when it began.
        :return: None.
        """
        self._quarantine.record_completed(name, started, self._loop.now())

    def note_crash(self):
        """Take in that the target's process has ended unasked.

        :return: None.
        """
        now = self._loop.now()
        lost, self._lost = self._lost, []
        names = [name for name, at in lost if now - at < _NOTICED_SECONDS]
        for name in self._quarantine.record_crash(names, now):
            self._own.pop(name, None)
            self._own[name] = now
            self._log.notable("crash_blamed", fingerprint=name, refused=self.is_refused(name))

    def hear(self, host, crashes):
        """Take in what another host has noticed.

        :param host: its name.
        :param crashes: pairs of fingerprint and count.
        :return: None.
        """
        now = self._loop.now()
        for name, count in crashes:
            known = self._quarantine.evidence(name)[0].get(host)
            if known is None or known.count < count:
                self._quarantine.merge_crashes(name, host, Crashes(count, now), now)
