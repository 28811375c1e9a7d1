"""The controller that probes the load of targets and answers peers' probes, by datagram."""

from camphorshelf_core.messages import ProbeAnswerMessage, ProbeMessage, encode
from camphorshelf_core.sensing import DATAGRAM_OVERHEAD, PROBE_BYTES, ProbeScheduler


class ProbeController:
    """Moves probes through the node's datagram socket within the core package's budget."""

    def __init__(self, loop, settings, gossip, keeper, gatekeeper, random):
        self._loop = loop
        self._gossip = gossip
        self._keeper = keeper
        self._gatekeeper = gatekeeper
        self._own_address = settings.listen.peers
        self._sensing = ProbeScheduler(settings.sensing, random, loop.now())
        gossip.on_message(ProbeMessage, self._on_probe)
        gossip.on_message(ProbeAnswerMessage, self._on_answer)

    @property
    def sensing(self):
        """The budget and its counts."""
        return self._sensing

    def probe_one(self, candidates):
        """Probe one of a service's targets if one is worth it and the budget allows.

        :param candidates: the service's targets.
        :return: None.
        """
        remote = [one for one in candidates if one.address != self._own_address]
        probe = self._sensing.next_probe(remote, self._loop.now())
        if probe is not None:
            self._send(ProbeMessage(probe.number), probe.address)

    def _on_probe(self, message, address):
        if self._sensing.charge_answer(self._loop.now()):
            self._send(ProbeAnswerMessage(message.number, self._gatekeeper.load), address)

    def _on_answer(self, message, _address):
        asked = self._sensing.match_answer(message.number)
        if asked is not None:
            target, sent_at = asked
            self._keeper.note_report(target, message.load)
            self._keeper.round_trip.record((self._loop.now() - sent_at) * 1000)

    def _send(self, message, address):
        data = encode(message)
        # The charge is a fixed amount per datagram, made before this; it has to cover it.
        assert len(data) + DATAGRAM_OVERHEAD <= PROBE_BYTES, "a probe outgrew its charge"
        self._gossip.send(data, address)
