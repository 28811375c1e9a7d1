"""Fair shares of a target's slots: whose call is next, and whose goes when the queue is full.

Answers the load in which a few callers send most of it. Without it, first come is first
served: a caller that sends a hundred calls at once holds every slot and the whole queue, and
a counter clerk's single lookup waits behind them or is refused.
"""

from collections import OrderedDict

# A caller's past use halves in this time: long enough to outlast one burst, short enough that
# nobody pays a minute later for load that has long gone.
_HALF_LIFE_SECONDS = 5.0
# Callers whose past use is kept. Only those that hold a slot must be known exactly; the rest
# just break ties, so the least recently served may be forgotten.
_KEPT = 1024


class _Account:
    __slots__ = ("held", "used", "at", "weight")

    def __init__(self, weight, now):
        self.held = 0
        self.used = 0.0
        self.at = now
        self.weight = weight

    def charge(self, seconds, now):
        self.used = self.level(now) + seconds
        self.at = now

    def level(self, now):
        return self.used * 0.5 ** ((now - self.at) / _HALF_LIFE_SECONDS)


class Shares:
    """Counts the slots that each name holds and the slot-seconds it used lately."""

    def __init__(self, weights=None):
        self._weights = weights or {}
        self._accounts = OrderedDict()

    def __len__(self):
        return len(self._accounts)

    def take(self, name, now):
        """Note that a name got a slot.

        :param name: a caller or team.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = _Account(self._weights.get(name, 1), now)
            self._shrink()
        account.held += 1

    def give_back(self, name, seconds, now):
        """Note that a name gave its slot back.

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
        """Count the slots that a name holds.

        :param name: a caller or team.
        :return: the count, divided by the name's weight.
        """
        account = self._accounts.get(name)
        return account.held / account.weight if account else 0

    def rank(self, name, now):
        """Say how much a name has had; the least is next.

        Slots held come first, so that a caller of long calls cannot hold more of them than
        one of short calls; slot-seconds used break ties, so that among more callers than
        slots the turns go round.

        :param name: a caller or team.
        :param now: seconds on the monotonic clock.
        :return: a pair that sorts.
        """
        account = self._accounts.get(name)
        if account is None:
            return (0, 0.0)
        return (account.held / account.weight, account.level(now) / account.weight)

    def _shrink(self):
        if len(self._accounts) <= _KEPT:
            return
        for name, account in self._accounts.items():
            if account.held == 0:
                del self._accounts[name]
                return


class FairQueue:
    """Calls of one class in line, by team, then caller, then deadline."""

    def __init__(self, callers, teams):
        self._callers = callers
        self._teams = teams
        self._lines = {}
        self._size = 0

    def __len__(self):
        return self._size

    def __iter__(self):
        for team in self._lines.values():
            for line in team.values():
                yield from line

    def waiting(self, ticket):
        """Count who waits beside a call.

        :param ticket: the call's ticket.
        :return: the pair of calls its caller has in line and callers in line.
        """
        own = self._lines.get(ticket.team, {}).get(ticket.caller, ())
        return len(own), sum(len(team) for team in self._lines.values())

    def push(self, ticket):
        """Put a call in line.

        :param ticket: the call's ticket.
        :return: None.
        """
        line = self._lines.setdefault(ticket.team, {}).setdefault(ticket.caller, [])
        at = len(line)
        while at and line[at - 1].deadline > ticket.deadline:
            at -= 1
        line.insert(at, ticket)
        self._size += 1

    def pop(self, now):
        """Take the next call out of line.

        :param now: seconds on the monotonic clock.
        :return: the ticket.
        """
        name = min(self._lines, key=lambda one: self._teams.rank(one, now))
        team = self._lines[name]
        caller = min(team, key=lambda one: self._callers.rank(one, now))
        ticket = team[caller][0]
        self.remove(ticket)
        return ticket

    def remove(self, ticket):
        """Take a call out of line, wherever it stands.

        :param ticket: the call's ticket.
        :return: None.
        """
        team = self._lines[ticket.team]
        line = team[ticket.caller]
        line.remove(ticket)
        self._size -= 1
        if not line:
            del team[ticket.caller]
        if not team:
            del self._lines[ticket.team]

    def victim(self, ticket):
        """Choose who goes when the line is full: the last call of whoever has the most.

        :param ticket: the call that arrives.
        :return: a ticket in line, or the arriving one.
        """
        team = max(self._lines, key=self._team_load)
        if self._team_load(ticket.team) >= self._team_load(team):
            team = ticket.team
        callers = self._lines.get(team, {})
        if not callers:
            return ticket
        caller = max(callers, key=lambda one: self._caller_load(team, one))
        load = self._caller_load(team, caller)
        if team == ticket.team and self._caller_load(team, ticket.caller) >= load:
            return ticket
        return callers[caller][-1]

    def _team_load(self, team):
        lines = self._lines.get(team, {})
        return sum(map(len, lines.values())) + self._teams.held(team)

    def _caller_load(self, team, caller):
        return len(self._lines.get(team, {}).get(caller, ())) + self._callers.held(caller)


class FifoQueue:
    """The baseline: first come, first served, and the newcomer goes when it is full."""

    def __init__(self, callers, teams):
        self._tickets = OrderedDict()

    def __len__(self):
        return len(self._tickets)

    def __iter__(self):
        return iter(list(self._tickets))

    def waiting(self, ticket):
        """Count who waits, as in :class:`FairQueue`; all stand in one line."""
        return len(self._tickets), 1

    def push(self, ticket):
        """Put a call at the end."""
        self._tickets[ticket] = None

    def pop(self, now):
        """Take the first call out of line."""
        return self._tickets.popitem(last=False)[0]

    def remove(self, ticket):
        """Take a call out of line, wherever it stands."""
        del self._tickets[ticket]

    def victim(self, ticket):
        """Choose the arriving call."""
        return ticket
