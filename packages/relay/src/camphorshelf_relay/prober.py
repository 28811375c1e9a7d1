"""Probes hosts for their current load before a target is chosen."""

from camphorshelf_core.budget import TokenBucket
from camphorshelf_core.loadprobes import PROBE_WAIT_SECONDS

# Above this rate, targets are chosen by their last known load. A target's node refuses a request
# for which the target has no capacity.
_MAX_PROBES_PER_SECOND = 200


class Prober:
    """Sends probes and waits for the answers; concurrent probes of one host share one datagram.

    :param loop: the node's loop.
    :param directory: the :class:`~camphorshelf_core.directory.HostDirectory`.
    :param probe: takes a host's link address and sends it a probe.
    """

    def __init__(self, loop, directory, probe):
        self._loop = loop
        self._directory = directory
        self._probe = probe
        # The rounds that wait for an answer, by the host's address.
        self._rounds = {}
        self._budget = TokenBucket(_MAX_PROBES_PER_SECOND, _MAX_PROBES_PER_SECOND, loop.now())
        self.counts = {"sent": 0, "late": 0, "over_budget": 0}

    def probe(self, addresses, is_sufficient, on_done):
        """Probe the load of several hosts before one target is chosen.

        The round is done as soon as one answer is sufficient, all hosts have answered, or
        ``PROBE_WAIT_SECONDS`` have passed.

        :param addresses: the hosts' link addresses.
        :param is_sufficient: takes the :class:`~camphorshelf_core.hosts.HostView` of a host that
            has answered, and tells whether the other answers need not be awaited.
        :param on_done: called once, without arguments, when the round is done.
        :return: None.
        """
        round_ = _Round(self, is_sufficient, on_done)
        round_.addresses = {address for address in addresses if self._probe_host(address, round_)}
        if round_.addresses:
            round_.timer = self._loop.call_later(PROBE_WAIT_SECONDS, round_.on_timeout)
        else:
            self._loop.call_later(0, on_done)

    def record_contact(self, address):
        """Record that a host's status has arrived.

        :param address: the host's link address.
        :return: None.
        """
        view = self._directory.view(address)
        for round_ in self._rounds.pop(address, ()):
            round_.record_contact(address, view)

    def drop(self, address, round_):
        """Stop waiting for a host's answer in one round.

        :param address: the host's link address.
        :param round_: the :class:`_Round`.
        :return: None.
        """
        rounds = self._rounds.get(address, [])
        if round_ in rounds:
            rounds.remove(round_)
        if not rounds:
            self._rounds.pop(address, None)

    def _probe_host(self, address, round_):
        rounds = self._rounds.get(address)
        if rounds is not None:
            # The host has been probed for another request, and its answer is still due.
            rounds.append(round_)
            return True
        if self._directory.view(address) is None:
            return False
        if not self._budget.spend(1, self._loop.now()):
            self.counts["over_budget"] += 1
            return False
        self._rounds[address] = [round_]
        self.counts["sent"] += 1
        self._probe(address)
        return True


class _Round:
    """The probes that are sent before the target of one request is chosen.

    :ivar addresses: the link addresses of the hosts that have not answered.
    :ivar timer: ends the round when answers are missing.
    """

    def __init__(self, prober, is_sufficient, on_done):
        self._prober = prober
        self._is_sufficient = is_sufficient
        self._on_done = on_done
        self.addresses = set()
        self.timer = None

    def record_contact(self, address, view):
        self.addresses.discard(address)
        if not self.addresses or self._is_sufficient(view):
            self._finish()

    def on_timeout(self):
        self._prober.counts["late"] += len(self.addresses)
        self._finish()

    def _finish(self):
        self.timer.cancel()
        for address in self.addresses:
            self._prober.drop(address, self)
        self._on_done()
