"""Asks hosts for their status of this moment and tells when they have answered."""

from camphorshelf_core.asking import WAIT_SECONDS
from camphorshelf_core.budget import TokenBucket
from camphorshelf_core.statusforms import encode_question

# Questions a second that one node sends at most. A choice asks three hosts, seldom six, so these
# carry 60 choices a second, nine times what a node of 77 has; with 60 bytes each they are 12 kB/s.
# Beyond, requests go by what is known already, and the targets' nodes turn away what is wrong.
_QUESTIONS_PER_SECOND = 200


class Asker:
    """Questions that wait for their answers."""

    def __init__(self, loop, directory, send_to):
        self._loop = loop
        self._directory = directory
        self._send_to = send_to
        self._waiting = {}
        self._budget = TokenBucket(_QUESTIONS_PER_SECOND, _QUESTIONS_PER_SECOND, loop.now())
        self.counts = {"asked": 0, "late": 0, "over_budget": 0}

    def ask(self, addresses, is_good, on_done):
        """Ask hosts, and call back when one is good, all have answered or have had the time to.

        :param addresses: the hosts' addresses for links.
        :param is_good: takes the :class:`~camphorshelf_core.hosts.HostView` of a host that has
            answered, and tells whether the others' answers need not be waited for.
        :param on_done: takes no argument; called once.
        :return: None.
        """
        round_ = _Round(self, is_good, on_done)
        round_.addresses = {address for address in addresses if self._ask_one(address, round_)}
        if round_.addresses:
            round_.timer = self._loop.call_later(WAIT_SECONDS, round_.give_up)
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

    def _ask_one(self, address, round_):
        rounds = self._waiting.get(address)
        if rounds is not None:
            # Its answer to another request's question is on the way.
            rounds.append(round_)
            return True
        now = self._loop.now()
        view = self._directory.view(address)
        if view is None:
            return False
        if not self._budget.spend(1, now):
            self.counts["over_budget"] += 1
            return False
        self._waiting[address] = [round_]
        if view.asked_at is None:
            view.asked_at = now
        self.counts["asked"] += 1
        self._send_to(address, encode_question(view.status.incarnation))
        return True


class _Round:
    """The hosts that one choice waits for."""

    def __init__(self, asker, is_good, on_done):
        self._asker = asker
        self._is_good = is_good
        self._on_done = on_done
        self.addresses = set()
        self.timer = None

    def note_heard(self, address, view):
        self.addresses.discard(address)
        if not self.addresses or self._is_good(view):
            self._end()

    def give_up(self):
        self._asker.counts["late"] += len(self.addresses)
        self._end()

    def _end(self):
        self.timer.cancel()
        for address in self.addresses:
            self._asker.drop(address, self)
        self._on_done()
