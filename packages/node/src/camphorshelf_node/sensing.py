"""Probes the load of targets and answers peers' probes, by datagram."""

from camphorshelf_core.messages import ProbeAnswerMessage, ProbeMessage, encode
from camphorshelf_core.sensing import DATAGRAM_OVERHEAD, PROBE_BYTES, ProbeScheduler


class ProbeController:
    """Sends and answers probes on the gossip socket, within the budget of a probe scheduler."""

    def __init__(self, loop, settings, gossip, load_tracker, admission_controller, random):
        self._loop = loop
        self._gossip = gossip
        self._load_tracker = load_tracker
        self._admission_controller = admission_controller
        self._own_address = settings.listen.peers
        self._scheduler = ProbeScheduler(settings.sensing, random, loop.now())
        gossip.on_message(ProbeMessage, self._on_probe)
        gossip.on_message(ProbeAnswerMessage, self._on_answer)

    @property
    def scheduler(self):
        """The :class:`~camphorshelf_core.sensing.ProbeScheduler`, with its counters."""
        return self._scheduler

    def probe_one(self, candidates):
        """Probe one of a service's targets, if the scheduler selects one.

        :param candidates: the targets, a list of :class:`~camphorshelf_core.routing.Candidate`.
        :return: None.
        """
        remote = [candidate for candidate in candidates if candidate.address != self._own_address]
        probe = self._scheduler.next_probe(remote, self._loop.now())
        if probe is not None:
            self._send(ProbeMessage(probe.number), probe.address)

    def _on_probe(self, message, address):
        if self._scheduler.charge_answer(self._loop.now()):
            self._send(ProbeAnswerMessage(message.number, self._admission_controller.load), address)

    def _on_answer(self, message, _address):
        probed = self._scheduler.match_answer(message.number)
        if probed is not None:
            target, sent_at = probed
            self._load_tracker.record_report(target, message.load)
            self._load_tracker.round_trip.record((self._loop.now() - sent_at) * 1000)

    def _send(self, message, address):
        data = encode(message)
        # The budget was charged a fixed number of bytes per datagram before it was encoded.
        assert (
            len(data) + DATAGRAM_OVERHEAD <= PROBE_BYTES
        ), f"a probe of {len(data)} bytes is larger than its budget"
        self._gossip.send(data, address)
