"""Fair shares of a target's slots: how much each organisation has used, and who is over its share.

Handles load that comes mostly from one organisation. Without shares, an organisation that sends
ten times as many requests as the slots can serve, or that retries at once, gets nearly all slots,
because most of the requests that come when a place gets free are its own.

Use is measured in slot-seconds, exponentially smoothed. Work that is queued counts as used, so that
of a burst only as many requests as its share allows are queued before those of others.
"""

import math
from collections import OrderedDict
from typing import NamedTuple

# Requests without an organisation: calls of targets and requests on public routes.
CALLS = ""
_SMOOTHING_SECONDS = 5.0
# Use is only remembered for organisations that were seen lately, and for at most this many. At more
# than 200 organisations a second the least recently seen ones are forgotten early.
_MAX_ACCOUNTS = 1024
# Uses are stored multiplied by a factor that grows with time, so that they needn't be decayed one
# by one. Before the factor gets too large for a float, all uses are divided by it.
_MAX_EXPONENT = 200.0
_DEFAULT_WEIGHT = 1.0


class Weights(NamedTuple):
    """The weights of the organisations of one configuration.

    :param by_name: the weight of each organisation that has a rate, by its name.
    :param default: the weight of all others.
    """

    by_name: dict
    default: float

    def find(self, name):
        """Find the weight of an organisation.

        :param name: the organisation's name.
        :return: a number above 0.
        """
        return self.by_name.get(name, self.default)


class OrganisationShare(NamedTuple):
    """What one organisation has lately demanded and got of a target.

    :param organisation: its name.
    :param demanded: the slots that its offered requests would have used.
    :param entitled: the slots to which its weight entitles it, of those that all have used.
    :param served: the slots that it has used, queued work included.
    """

    organisation: str
    demanded: float
    entitled: float
    served: float


def find_weights(organisations):
    """Find the weights of organisations: their rates, and the median rate for those without one.

    :param organisations: the :class:`~camphorshelf_core.organisations.OrganisationTable` in force;
        None if no organisation is configured.
    :return: the :class:`Weights`, or None.
    """
    if organisations is None:
        return None
    by_name = {one.name: one.rate_per_s for one in organisations if one.rate_per_s}
    rates = sorted(by_name.values())
    return Weights(by_name, rates[len(rates) // 2] if rates else _DEFAULT_WEIGHT)


class _Account:
    __slots__ = ("weight", "used", "demanded", "seen_at")

    def __init__(self, weight):
        self.weight = weight
        self.used = 0.0
        self.demanded = 0.0
        self.seen_at = 0.0


class FairShares:
    """The use of one target's slots by organisation, and the share of each.

    Calls count together as one organisation, which is never over. Their use must not make room for
    an organisation that takes most of what calls leave. So shares are computed twice: as parts of
    what all organisations without the calls have used, and as parts of what all have used with
    them. The second tells a lone organisation that floods from the calls beside it.
    """

    def __init__(self):
        self._weights = None
        # Ordered by when an organisation was last seen, the longest ago first.
        self._accounts = OrderedDict()
        self._total_weight = 0.0
        self._total_used = 0.0
        self._scaled_since = 0.0
        self._calls = None
        self._started_within = 0.0

    def __len__(self):
        return len(self._accounts)

    @property
    def is_enabled(self):
        """Whether any organisation is configured; if not, nobody is over and nothing is stored."""
        return self._weights is not None

    def configure(self, weights):
        """Apply the weights of another configuration; past use continues to count.

        :param weights: the :class:`Weights`, or None if no organisation is configured.
        :return: None.
        """
        self._weights = weights
        if weights is None:
            self._accounts.clear()
            self._calls = None
            self._started_within = 0.0
        elif self._calls is not None:
            self._calls.weight = weights.default
        for name, account in self._accounts.items():
            account.weight = weights.find(name)
        self._sum_up()

    def record_demand(self, organisation, work_s, now):
        """Record that an organisation has offered a request, whether or not it is admitted.

        :param organisation: the organisation's name.
        :param work_s: how long the request would run, in seconds.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._forget_unseen(now)
        work = work_s * self._scale(now)
        self._see(organisation, now).demanded += work

    def charge(self, organisation, seconds, at):
        """Charge an organisation for the use of a slot, or take back an earlier charge.

        :param organisation: the organisation's name.
        :param seconds: slot-seconds; negative to take back that much.
        :param at: when they count as used, in seconds on the monotonic clock; for a charge that is
            taken back, when it was made.
        :return: None.
        """
        if self._weights is None:
            return
        account = self._find(organisation)
        if account is None:
            if seconds <= 0:
                return
            account = self._see(organisation, at)
        change = max(seconds * self._scale(at), -account.used)
        account.used += change
        if organisation != CALLS:
            self._total_used = max(0.0, self._total_used + change)

    def record_start(self, over_level, work_s, now):
        """Record that a request has started.

        :param over_level: its organisation's :meth:`over_level` when the request was offered.
        :param work_s: how long it is expected to run, in seconds.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if over_level == 0:
            work = work_s * self._scale(now)
            self._started_within += work

    def slots_within(self, now):
        """Return how many slots requests of organisations within their share have used lately.

        :param now: seconds on the monotonic clock.
        :return: slots, smoothed.
        """
        scale = self._scale(now)
        return self._started_within / scale / _SMOOTHING_SECONDS

    def over_level(self, organisation, work_s, now):
        """Tell whether an organisation has used more than its share.

        One request more than the share is allowed: otherwise a small organisation would be over
        after its first request, because the share of a small weight is less than one request.

        :param organisation: the organisation's name.
        :param work_s: how long its next request would run, in seconds.
        :param now: seconds on the monotonic clock.
        :return: 0 if it is within its share, 1 if it is over only because calls were seen, and 2 if
            it is over its share among organisations.
        """
        account = self._accounts.get(organisation)
        if account is None:
            return 0
        excess = account.used - work_s * self._scale(now)
        if excess * self._total_weight > account.weight * self._total_used:
            return 2
        calls = self._calls
        if calls is None or calls.used <= 0:
            return 0
        total_weight = self._total_weight + calls.weight
        return int(excess * total_weight > account.weight * (self._total_used + calls.used))

    def excess(self, organisation):
        """Return the use of an organisation as a multiple of its share.

        :param organisation: the organisation's name.
        :return: a number, 1.0 for an organisation that has used just its share; 0.0 for calls.
        """
        account = self._accounts.get(organisation)
        if account is None or not self._total_used:
            return 0.0
        return account.used / account.weight * self._total_weight / self._total_used

    def list_shares(self, count, now):
        """List the shares of the organisations that demand most.

        :param count: how many to list at most.
        :param now: seconds on the monotonic clock.
        :return: a list of :class:`OrganisationShare`, the largest demand first.
        """
        self._forget_unseen(now)
        # The smoothed sum of a constant use of one slot is the smoothing time.
        unit = self._scale(now) * _SMOOTHING_SECONDS
        largest = sorted(self._accounts.items(), key=lambda one: one[1].demanded, reverse=True)
        return [
            OrganisationShare(
                name,
                account.demanded / unit,
                account.weight / self._total_weight * self._total_used / unit,
                account.used / unit,
            )
            for name, account in largest[:count]
        ]

    def _find(self, organisation):
        return self._calls if organisation == CALLS else self._accounts.get(organisation)

    def _see(self, organisation, now):
        if organisation == CALLS:
            if self._calls is None:
                self._calls = _Account(self._weights.default)
            self._calls.seen_at = now
            return self._calls
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = _Account(self._weights.find(organisation))
            self._total_weight += account.weight
            if len(self._accounts) > _MAX_ACCOUNTS:
                self._forget_oldest()
        else:
            self._accounts.move_to_end(organisation)
        account.seen_at = now
        return account

    def _forget_unseen(self, now):
        if self._calls is not None and now - self._calls.seen_at > _SMOOTHING_SECONDS:
            self._calls = None
        while self._accounts:
            oldest = next(iter(self._accounts.values()))
            if now - oldest.seen_at <= _SMOOTHING_SECONDS:
                return
            self._forget_oldest()

    def _forget_oldest(self):
        _, account = self._accounts.popitem(last=False)
        self._total_weight -= account.weight
        self._total_used = max(0.0, self._total_used - account.used)
        if not self._accounts:
            self._sum_up()

    def _sum_up(self):
        self._total_weight = math.fsum(one.weight for one in self._accounts.values())
        self._total_used = math.fsum(one.used for one in self._accounts.values())

    def _scale(self, at):
        exponent = (at - self._scaled_since) / _SMOOTHING_SECONDS
        if exponent > _MAX_EXPONENT:
            self._rescale(at)
            return 1.0
        return math.exp(exponent)

    def _rescale(self, now):
        factor = math.exp(max(-700.0, (self._scaled_since - now) / _SMOOTHING_SECONDS))
        self._scaled_since = now
        for account in self._accounts.values():
            account.used *= factor
            account.demanded *= factor
        self._started_within *= factor
        if self._calls is not None:
            self._calls.used *= factor
            self._calls.demanded *= factor
        self._sum_up()
