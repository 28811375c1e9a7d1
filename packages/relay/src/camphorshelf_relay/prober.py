"""Probes the load of hosts for a choice, and tells when they have answered."""

from camphorshelf_core.budget import TokenBucket
from camphorshelf_core.loadprobes import PROBE_WAIT_SECONDS

# Beyond this, requests go by what is known already, and the targets' nodes turn away what is wrong.
_PROBES_PER_SECOND = 200


class Prober:
    """Probes that wait for their answers; choices that probe the same host share one."""

    def __init__(self, loop, directory, probe):
        self._loop = loop
        self._directory = directory
        self._probe = probe
        self._waiting = {}
        self._budget = TokenBucket(_PROBES_PER_SECOND, _PROBES_PER_SECOND, loop.now())
        self.counts = {"sent": 0, "late": 0, "over_budget": 0}

    def probe(self, addresses, is_sufficient, on_done):
        """Probe hosts; call back when one suffices, all have answered or have had the time to.

        :param addresses: the hosts' addresses for links.
        :param is_sufficient: takes the :class:`~camphorshelf_core.hosts.HostView` of a host that
            has answered, and tells whether the others' answers need not be waited for.
        :param on_done: takes no argument; called once.
        :return: None.
        """
        round_ = _Round(self, is_sufficient, on_done)
        round_.addresses = {address for address in addresses if self._probe_one(address, round_)}
        if round_.addresses:
            round_.timer = self._loop.call_later(PROBE_WAIT_SECONDS, round_.give_up)
        else:
            self._loop.call_later(0, on_done)

    def note_heard(self, address):
        """Take in that a host has told its status.

        :param address: the host's address for links.
        :return: None.
        """
        view = self._directory.view(address)
        for round_ in self._waiting.pop(address, ()):
            round_.note_heard(address, view)

    def drop(self, address, round_):
        """Wait no longer for a host's answer.

        :param address: the host's address for links.
        :param round_: what waited for it.
        :return: None.
        """
        rounds = self._waiting.get(address, [])
        if round_ in rounds:
            rounds.remove(round_)
        if not rounds:
            self._waiting.pop(address, None)

    def _probe_one(self, address, round_):
        rounds = self._waiting.get(address)
        if rounds is not None:
            # Its answer to another request's question is on the way.
            rounds.append(round_)
            return True
        if self._directory.view(address) is None:
            return False
        if not self._budget.spend(1, self._loop.now()):
            self.counts["over_budget"] += 1
            return False
        self._waiting[address] = [round_]
        self.counts["sent"] += 1
        self._probe(address)
        return True


class _Round:
    """The hosts that one choice waits for."""

    def __init__(self, prober, is_sufficient, on_done):
        self._prober = prober
        self._is_good = is_sufficient
        self._on_done = on_done
        self.addresses = set()
        self.timer = None

    def note_heard(self, address, view):
        self.addresses.discard(address)
        if not self.addresses or self._is_good(view):
            self._end()

    def give_up(self):
        self._prober.counts["late"] += len(self.addresses)
        self._end()

    def _end(self):
        self.timer.cancel()
        for address in self.addresses:
            self._prober.drop(address, self)
        self._on_done()
