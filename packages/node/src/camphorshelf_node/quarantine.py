"""Refuses requests that crash targets, and shares the records of crashes with other nodes."""

import time

from camphorshelf_core.calls import header
from camphorshelf_core.errors import Code, Refusal
from camphorshelf_core.quarantine import Crashes, Quarantine, Standing
from camphorshelf_core.quarantine import fingerprint as make_fingerprint

# Names the targets that crashed while they ran the request; sent only between nodes. The retry of a
# lookup is sent within a millisecond, long before gossip informs the next target's node.
SUSPECT_HEADER = b"camphorshelf-suspect"
_TOPIC = "quarantine"
_CLEARED = "cleared"
_EXPIRY_CHECK_SECONDS = 10.0
_MAX_HEADER_TARGETS = 8


class QuarantineController:
    """This node's records of requests that crash targets, and their exchange with other nodes."""

    def __init__(self, loop, settings, gossip, log):
        self._name = settings.name
        self._gossip = gossip
        self._log = log
        self._state = Quarantine(settings.quarantine, settings.name)
        gossip.subscribe(_TOPIC, self._on_entry)
        loop.call_every(_EXPIRY_CHECK_SECONDS, lambda: self._state.remove_expired(time.time()))

    @property
    def state(self):
        """The :class:`~camphorshelf_core.quarantine.Quarantine` with the records."""
        return self._state

    def filter(self, exchange, proceed):
        """Refuse a quarantined request before it is dispatched.

        :param exchange: the caller's exchange.
        :param proceed: the next filter of the chain.
        :return: None.
        """
        request = exchange.request
        if header(request.headers, SUSPECT_HEADER) is not None:
            headers = tuple(pair for pair in request.headers if pair[0] != SUSPECT_HEADER)
            request = exchange.request = request._replace(headers=headers)
        if len(self._state):
            fingerprint = make_fingerprint(
                exchange.service, request.method, request.path, request.body
            )
            if self._state.standing(fingerprint, time.time()) is Standing.REFUSED:
                self._log.decision("quarantine", service=exchange.service, fingerprint=fingerprint)
                exchange.refuse(self.refusal(fingerprint))
                return
        proceed(exchange)

    def check_call(self, call):
        """Record the crashes that a call's header reports, and return the call's standing.

        Called at the target's node when the call arrives.

        :param call: the :class:`~camphorshelf_core.messages.CallMessage`.
        :return: the :class:`Standing` and the fingerprint; the latter is None if no crash is known.
        """
        evidence = header(call.headers, SUSPECT_HEADER)
        if evidence is None and not len(self._state):
            return Standing.CLEAR, None
        fingerprint = _call_fingerprint(call)
        now = time.time()
        if evidence is not None:
            for node in evidence.decode("latin-1").split(",")[:_MAX_HEADER_TARGETS]:
                self._add_crash(fingerprint, node, now)
        return self._state.standing(fingerprint, now), fingerprint

    def refusal(self, fingerprint):
        """Create the refusal of a quarantined request.

        :param fingerprint: the request's fingerprint.
        :return: the :class:`Refusal`.
        """
        remaining_s = self._state.seconds_left(fingerprint, time.time())
        reason = f"each target that ran this request died (fingerprint {fingerprint})"
        return Refusal(Code.QUARANTINED, reason, retry_after_ms=int(remaining_s * 1000) + 1)

    def record_blamed(self, exchange, target):
        """Record that a target crashed while it ran a caller's request, and mark it for its retry.

        :param exchange: the caller's exchange.
        :param target: the name of the target's node.
        :return: True if the request is quarantined now.
        """
        request = exchange.request
        fingerprint = _request_fingerprint(exchange.service, request)
        now = time.time()
        self._add_crash(fingerprint, target, now)
        nodes, _ = self._state.counted_crashes(fingerprint)
        headers = tuple(pair for pair in request.headers if pair[0] != SUSPECT_HEADER)
        headers += ((SUSPECT_HEADER, ",".join(nodes).encode()),)
        exchange.request = request._replace(headers=headers)
        return self._state.standing(fingerprint, now) is Standing.REFUSED

    def record_crash(self, calls):
        """Record that the target on this host has crashed.

        :param calls: the calls that the target was running.
        :return: the calls that may have caused the crash.
        """
        fingerprints = {id(call): _call_fingerprint(call) for call in calls}
        now = time.time()
        blamed = self._state.record_crash(fingerprints.values(), now)
        for fingerprint in blamed:
            crashes = self._state.counted_crashes(fingerprint)[0][self._name]
            self._publish(f"{fingerprint}:{self._name}", now, tuple(crashes))
            standing = self._state.standing(fingerprint, now)
            self._log.info(
                f"the target crashed while it ran request {fingerprint}: {standing.name}"
            )
        return [call for call in calls if fingerprints[id(call)] in blamed]

    def record_completed(self, fingerprint, started):
        """Record that a suspect request was answered without a crash.

        :param fingerprint: the request's fingerprint.
        :param started: when the run began, as Unix time in seconds.
        :return: None.
        """
        now = time.time()
        if self._state.record_completed(fingerprint, started, now):
            self._publish(f"{fingerprint}:{_CLEARED}", now, now)
            self._log.info(f"request {fingerprint} was answered without a crash and is cleared")

    def list_entries(self):
        """List the requests that are quarantined or suspected.

        :return: a list of documents with ``id``, ``service``, ``standing`` and ``seconds_left``.
        """
        now = time.time()
        return [
            {
                "id": fingerprint,
                "service": fingerprint.rpartition(".")[0],
                "standing": standing.name,
                "seconds_left": round(self._state.seconds_left(fingerprint, now)),
            }
            for fingerprint in self._state
            if (standing := self._state.standing(fingerprint, now)) is not Standing.CLEAR
        ]

    def lift(self, fingerprint):
        """Clear a request on all nodes, as an operator asked for.

        :param fingerprint: the request's fingerprint.
        :return: True if the request had been quarantined or suspected.
        """
        was_lifted = self._state.lift(fingerprint, time.time())
        if was_lifted:
            cleared_at = self._state.cleared_at(fingerprint)
            self._publish(f"{fingerprint}:{_CLEARED}", cleared_at, cleared_at)
            self._log.info(f"quarantine of request {fingerprint} lifted by an operator")
        return was_lifted

    def _add_crash(self, fingerprint, node, now):
        if node not in self._state.counted_crashes(fingerprint)[0]:
            self._state.merge_crashes(fingerprint, node, Crashes(1, now), now)

    def _publish(self, key, at, value):
        self._gossip.publish(_TOPIC, key, int(at * 1000), value)

    def _on_entry(self, key, _version, value):
        fingerprint, _, source = key.partition(":")
        try:
            if source == _CLEARED:
                self._state.merge_cleared(fingerprint, float(value))
            else:
                count, at = value
                crashes = Crashes(int(count), float(at))
                self._state.merge_crashes(fingerprint, source, crashes, time.time())
        except (TypeError, ValueError):
            self._log.info(f"invalid quarantine entry received: {key}")


def _request_fingerprint(service, request):
    return make_fingerprint(service, request.method, request.path, request.body)


def _call_fingerprint(call):
    return make_fingerprint(call.service, call.method, call.path, call.body)
