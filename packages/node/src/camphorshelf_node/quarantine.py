"""Spreads the news of requests that crash targets and refuses them before dispatch."""

import time

from camphorshelf_core.calls import header
from camphorshelf_core.errors import Code, Refusal
from camphorshelf_core.quarantine import Crashes, Quarantine, Standing, fingerprint

# Carries, between nodes only, at which targets a request was blamed: the retry of a lookup
# leaves within a millisecond, long before gossip has told its next target.
SUSPECT_HEADER = b"camphorshelf-suspect"
_TOPIC = "quarantine"
_CLEARED = "cleared"
_FORGET_SECONDS = 10.0
_MAX_EVIDENCE = 8


class QuarantineController:
    """What this node knows of requests that crash targets, and tells others."""

    def __init__(self, loop, settings, gossip, log):
        self._name = settings.name
        self._gossip = gossip
        self._log = log
        self._state = Quarantine(settings.quarantine, settings.name)
        gossip.subscribe(_TOPIC, self._on_news)
        loop.call_every(_FORGET_SECONDS, lambda: self._state.remove_expired(time.time()))

    @property
    def state(self):
        """The records, for the administration API and metrics."""
        return self._state

    def filter(self, exchange, proceed):
        """Refuse a quarantined request before it is dispatched.

        :param exchange: the caller's exchange.
        :param proceed: the next step.
        :return: None.
        """
        request = exchange.request
        if header(request.headers, SUSPECT_HEADER) is not None:
            headers = tuple(pair for pair in request.headers if pair[0] != SUSPECT_HEADER)
            request = exchange.request = request._replace(headers=headers)
        if len(self._state):
            name = fingerprint(exchange.service, request.method, request.path, request.body)
            if self._state.standing(name, time.time()) is Standing.REFUSED:
                self._log.decision("quarantine", service=exchange.service, fingerprint=name)
                exchange.refuse(self.refusal(name))
                return
        proceed(exchange)

    def judge(self, call):
        """Tell what is held against a call that reached its target's node.

        :param call: the :class:`~camphorshelf_core.messages.CallMessage`.
        :return: the :class:`Standing` and the fingerprint (None when nothing is known).
        """
        evidence = header(call.headers, SUSPECT_HEADER)
        if evidence is None and not len(self._state):
            return Standing.CLEAR, None
        name = _name(call)
        now = time.time()
        if evidence is not None:
            for node in evidence.decode("latin-1").split(",")[:_MAX_EVIDENCE]:
                self._learn_one(name, node, now)
        return self._state.standing(name, now), name

    def refusal(self, name):
        """Make the answer to a quarantined request.

        :param name: its fingerprint.
        :return: the :class:`Refusal`.
        """
        left = self._state.seconds_left(name, time.time())
        reason = f"each target that ran this request died (fingerprint {name})"
        return Refusal(Code.QUARANTINED, reason, retry_after_ms=int(left * 1000) + 1)

    def note_blamed(self, exchange, target):
        """Mark a caller's request that a target died under, for its retry.

        :param exchange: the caller's exchange.
        :param target: the name of the target's node.
        :return: True when the request is refused everywhere from now on.
        """
        request = exchange.request
        name = fingerprint(exchange.service, request.method, request.path, request.body)
        now = time.time()
        self._learn_one(name, target, now)
        nodes, _ = self._state.counted_crashes(name)
        headers = tuple(pair for pair in request.headers if pair[0] != SUSPECT_HEADER)
        headers += ((SUSPECT_HEADER, ",".join(nodes).encode()),)
        exchange.request = request._replace(headers=headers)
        return self._state.standing(name, now) is Standing.REFUSED

    def note_crash(self, calls):
        """Take in that the target beside this node died.

        :param calls: the calls that it was working on.
        :return: those that are blamed.
        """
        names = {id(call): _name(call) for call in calls}
        now = time.time()
        blamed = self._state.record_crash(names.values(), now)
        for name in blamed:
            crashes = self._state.counted_crashes(name)[0][self._name]
            self._publish(f"{name}:{self._name}", now, tuple(crashes))
            standing = self._state.standing(name, now)
            self._log.info(f"the target died under request {name}: {standing.name}")
        return [call for call in calls if names[id(call)] in blamed]

    def note_clean(self, name, started):
        """Take in that a suspect ran to its answer.

        :param name: its fingerprint.
        :param started: when the run began, in wall-clock seconds.
        :return: None.
        """
        now = time.time()
        if self._state.record_completed(name, started, now):
            self._publish(f"{name}:{_CLEARED}", now, now)
            self._log.info(f"request {name} ran to its answer and is cleared")

    def list_entries(self):
        """List the requests that are refused or under suspicion.

        :return: a list of documents with ``id``, ``service``, ``standing`` and ``seconds_left``.
        """
        now = time.time()
        return [
            {
                "id": name,
                "service": name.rpartition(".")[0],
                "standing": standing.name,
                "seconds_left": round(self._state.seconds_left(name, now)),
            }
            for name in self._state
            if (standing := self._state.standing(name, now)) is not Standing.CLEAR
        ]

    def lift(self, name):
        """Forgive a request everywhere, on an operator's word.

        :param name: its fingerprint.
        :return: True when something was held against it.
        """
        lifted = self._state.lift(name, time.time())
        if lifted:
            cleared_at = self._state.cleared_at(name)
            self._publish(f"{name}:{_CLEARED}", cleared_at, cleared_at)
            self._log.info(f"quarantine of request {name} lifted by an operator")
        return lifted

    def _learn_one(self, name, node, now):
        if node not in self._state.counted_crashes(name)[0]:
            self._state.merge_crashes(name, node, Crashes(1, now), now)

    def _publish(self, key, at, value):
        self._gossip.publish(_TOPIC, key, int(at * 1000), value)

    def _on_news(self, key, _version, value):
        name, _, source = key.partition(":")
        try:
            if source == _CLEARED:
                self._state.merge_cleared(name, float(value))
            else:
                count, at = value
                crashes = Crashes(int(count), float(at))
                self._state.merge_crashes(name, source, crashes, time.time())
        except (TypeError, ValueError):
            self._log.info(f"news that is none, on quarantine: {key}")


def _name(call):
    return fingerprint(call.service, call.method, call.path, call.body)
