"""Fair sharing of a target's slots: which call starts next, and which is evicted from a full queue.

Handles load that comes mostly from a few callers. In first-come-first-served order a caller that
sends a hundred calls at once would hold every slot and the whole queue, and a single lookup of a
shop clerk would wait behind them or be refused.
"""

from collections import OrderedDict

# The half-life of a caller's past usage: it outlasts one burst, and no caller is disadvantaged a
# minute later for load that ended long ago.
_HALF_LIFE_SECONDS = 5.0
# Past usage is kept for this many names. Only names that hold a slot must be counted exactly; for
# the others usage just breaks ties, so the least recently served one is dropped.
_MAX_ACCOUNTS = 1024


class _Account:
    __slots__ = ("held", "used_s", "charged_at", "weight")

    def __init__(self, weight, now):
        self.held = 0
        self.used_s = 0.0
        self.charged_at = now
        self.weight = weight

    def charge(self, seconds, now):
        self.used_s = self.decayed_use(now) + seconds
        self.charged_at = now

    def decayed_use(self, now):
        return self.used_s * 0.5 ** ((now - self.charged_at) / _HALF_LIFE_SECONDS)


class SlotUsage:
    """Counts the slots that each caller or team holds, and the slot-seconds it used lately.

    :param weights: the weight of each name; 1 for a name that isn't listed.
    """

    def __init__(self, weights=None):
        self._weights = weights or {}
        self._accounts = OrderedDict()

    def __len__(self):
        return len(self._accounts)

    def acquire(self, name, now):
        """Record that a caller or team got a slot.

        :param name: a caller or team.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(self._weights.get(name, 1), now)
            self._drop_idle_account()
        account.held += 1

    def release(self, name, seconds, now):
        """Record that a caller or team released a slot.

        :param name: a caller or team.
        :param seconds: how long it held the slot.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        account = self._accounts[name]
        account.held -= 1
        account.charge(seconds, now)
        self._accounts.move_to_end(name)

    def held(self, name):
        """Return the slots that a caller or team holds, in relation to its weight.

        :param name: a caller or team.
        :return: the number of slots, divided by the weight.
        """
        account = self._accounts.get(name)
        return account.held / account.weight if account else 0

    def rank(self, name, now):
        """Return the sort key of a caller or team; the lowest one is served next.

        The slots held come first, so that a caller of long calls can't hold more of them than a
        caller of short calls. The slot-seconds used break ties, so that the turns rotate when
        there are more callers than slots.

        :param name: a caller or team.
        :param now: seconds on the monotonic clock.
        :return: the pair of slots held and slot-seconds used, each divided by the weight.
        """
        account = self._accounts.get(name)
        if account is None:
            return (0, 0.0)
        return (account.held / account.weight, account.decayed_use(now) / account.weight)

    def _drop_idle_account(self):
        if len(self._accounts) <= _MAX_ACCOUNTS:
            return
        for name, account in self._accounts.items():
            if account.held == 0:
                del self._accounts[name]
                return


class FairQueue:
    """Queued calls of one class, ordered by team, then by caller, then by deadline.

    :param callers: the :class:`SlotUsage` of callers.
    :param teams: the :class:`SlotUsage` of teams.
    """

    def __init__(self, callers, teams):
        self._caller_usage = callers
        self._team_usage = teams
        # The queued calls, by team and then by caller.
        self._queues = {}
        self._size = 0

    def __len__(self):
        return self._size

    def __iter__(self):
        for callers in self._queues.values():
            for queue in callers.values():
                yield from queue

    def count_waiting(self, call):
        """Count the queued calls of the same caller, and the callers with queued calls.

        :param call: the :class:`~camphorshelf_core.admission.PendingCall`.
        :return: the pair of both counts.
        """
        own = self._queues.get(call.team, {}).get(call.caller, ())
        return len(own), sum(len(callers) for callers in self._queues.values())

    def push(self, call):
        """Queue a call.

        :param call: the :class:`~camphorshelf_core.admission.PendingCall`.
        :return: None.
        """
        queue = self._queues.setdefault(call.team, {}).setdefault(call.caller, [])
        index = len(queue)
        while index and queue[index - 1].deadline > call.deadline:
            index -= 1
        queue.insert(index, call)
        self._size += 1

    def pop(self, now):
        """Remove and return the next call.

        :param now: seconds on the monotonic clock.
        :return: the :class:`~camphorshelf_core.admission.PendingCall`.
        """
        team = min(self._queues, key=lambda candidate: self._team_usage.rank(candidate, now))
        callers = self._queues[team]
        caller = min(callers, key=lambda candidate: self._caller_usage.rank(candidate, now))
        call = callers[caller][0]
        self.remove(call)
        return call

    def remove(self, call):
        """Remove a queued call.

        :param call: the :class:`~camphorshelf_core.admission.PendingCall`.
        :return: None.
        """
        callers = self._queues[call.team]
        queue = callers[call.caller]
        queue.remove(call)
        self._size -= 1
        if not queue:
            del callers[call.caller]
        if not callers:
            del self._queues[call.team]

    def choose_evicted(self, call):
        """Choose the call to evict from a full queue: the last call of the heaviest caller.

        That is the caller with the most queued calls and slots, in the team with the most.

        :param call: the arriving :class:`~camphorshelf_core.admission.PendingCall`.
        :return: a queued call, or the arriving one.
        """
        team = max(self._queues, key=self._team_load)
        if self._team_load(call.team) >= self._team_load(team):
            team = call.team
        callers = self._queues.get(team, {})
        if not callers:
            return call
        caller = max(callers, key=lambda candidate: self._caller_load(team, candidate))
        load = self._caller_load(team, caller)
        if team == call.team and self._caller_load(team, call.caller) >= load:
            return call
        return callers[caller][-1]

    def _team_load(self, team):
        queues = self._queues.get(team, {})
        return sum(map(len, queues.values())) + self._team_usage.held(team)

    def _caller_load(self, team, caller):
        return len(self._queues.get(team, {}).get(caller, ())) + self._caller_usage.held(caller)


class FifoQueue:
    """The baseline: first come, first served; a full queue refuses the arriving call."""

    def __init__(self, callers, teams):
        self._calls = OrderedDict()

    def __len__(self):
        return len(self._calls)

    def __iter__(self):
        return iter(list(self._calls))

    def count_waiting(self, call):
        """Count the queued calls, as if all came from one caller."""
        return len(self._calls), 1

    def push(self, call):
        """Queue a call at the end."""
        self._calls[call] = None

    def pop(self, now):
        """Remove and return the first call."""
        return self._calls.popitem(last=False)[0]

    def remove(self, call):
        """Remove a queued call."""
        del self._calls[call]

    def choose_evicted(self, call):
        """Choose the arriving call."""
        return call
