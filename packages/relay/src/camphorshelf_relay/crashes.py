"""Tracks requests that crash targets, and shares their crash counts with other nodes.

Failure pattern: a request crashes each target that starts to run it, and its caller sends it again
and again. Without quarantine, three attempts take down all targets of a service that has three.
"""

from typing import NamedTuple

from camphorshelf_core.quarantine import Crashes, Quarantine, Standing, fingerprint

# The connections of a crashed target break first. The crash is detected a moment later, when a
# connection is refused or another process answers at the address. Requests whose connections broke
# longer before that are unrelated to the crash.
_DETECTION_SECONDS = 1.5
# Limits on the crash counts sent to other nodes: how many, and for how long after a crash.
_MAX_SENT_FINGERPRINTS = 4
_SENT_SECONDS = 60.0


class QuarantineLimits(NamedTuple):
    """When a request is quarantined because of crashes.

    Two crashes while the same request runs are no coincidence: a target crashes only a few times
    per day, and of thousands of requests it runs about seven at a time. A quarantine ends after a
    while because the target may have been fixed.

    :param crashes: the number of crashes after which the request is quarantined.
    :param suspicion_ms: for how long the request stays a suspect after a crash, in milliseconds.
    :param hold_ms: how long the quarantine lasts after the last crash, in milliseconds.
    :param remembered: the largest number of requests that are remembered.
    """

    crashes: int = 2
    suspicion_ms: int = 60_000
    hold_ms: int = 60_000
    remembered: int = 1_024


class CrashTracker:
    """The requests that this node knows to have crashed targets.

    :param loop: the node's loop.
    :param name: the name of this node's host.
    :param log: the :class:`~camphorshelf_relay.eventlog.EventLog`.
    """

    def __init__(self, loop, name, log):
        self._loop = loop
        self._name = name
        self._log = log
        self._quarantine = Quarantine(QuarantineLimits(), name)
        # Pairs of fingerprint and time, for requests whose connection broke recently.
        self._lost_requests = []
        self._blamed_at = {}

    @property
    def recent_crashes(self):
        """Pairs of fingerprint and crash count, for requests that this node recently blamed."""
        now = self._loop.now()
        recent = [
            fingerprint for fingerprint, at in self._blamed_at.items() if now - at < _SENT_SECONDS
        ]
        return tuple(
            (fingerprint, self._quarantine.counted_crashes(fingerprint)[0][self._name].count)
            for fingerprint in recent[-_MAX_SENT_FINGERPRINTS:]
            if self._name in self._quarantine.counted_crashes(fingerprint)[0]
        )

    def fingerprint(self, message):
        """Compute the fingerprint of a request.

        :param message: the :class:`~camphorshelf_core.messages.RelayMessage`.
        :return: the fingerprint, a string.
        """
        return fingerprint(message.service, message.method, message.path, message.body)

    def is_quarantined(self, fingerprint):
        """Tell whether a request is quarantined.

        :param fingerprint: the request's fingerprint.
        :return: True or False.
        """
        return self._quarantine.standing(fingerprint, self._loop.now()) is Standing.REFUSED

    def record_connection_lost(self, fingerprint):
        """Record that the connection to the target broke while it ran a request.

        :param fingerprint: the request's fingerprint.
        :return: None.
        """
        now = self._loop.now()
        self._lost_requests = [
            pair for pair in self._lost_requests if now - pair[1] < _DETECTION_SECONDS
        ]
        self._lost_requests.append((fingerprint, now))

    def record_completed(self, fingerprint, started):
        """Record that the target answered a request, which clears it of suspicion.

        :param fingerprint: the request's fingerprint.
        :param started: when the target started to run it, in seconds on the loop's clock.
        :return: None.
        """
        self._quarantine.record_completed(fingerprint, started, self._loop.now())

    def record_crash(self):
        """Record that the target's process crashed, and blame the requests that it ran.

        :return: None.
        """
        now = self._loop.now()
        lost, self._lost_requests = self._lost_requests, []
        suspects = [fingerprint for fingerprint, at in lost if now - at < _DETECTION_SECONDS]
        for blamed in self._quarantine.record_crash(suspects, now):
            self._blamed_at.pop(blamed, None)
            self._blamed_at[blamed] = now
            self._log.notable(
                "crash_blamed", fingerprint=blamed, refused=self.is_quarantined(blamed)
            )

    def merge_remote(self, host, crashes):
        """Merge the crash counts of another host.

        :param host: the host's name.
        :param crashes: pairs of fingerprint and crash count.
        :return: None.
        """
        now = self._loop.now()
        for remote_fingerprint, count in crashes:
            known = self._quarantine.counted_crashes(remote_fingerprint)[0].get(host)
            if known is None or known.count < count:
                self._quarantine.merge_crashes(remote_fingerprint, host, Crashes(count, now), now)
