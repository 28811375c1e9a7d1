"""Decides which requests of an organisation with a limit may run, over all nodes together.

Handles an organisation that sends many times its quota for some seconds through every entry node,
and organisations of one request a second whose requests come through any of them. The owner of the
organisation holds one token bucket. Entry nodes ask it for tokens: busy ones for a batch at a time
before they run out, quiet ones for a single token. While the owner doesn't reply, an entry node
spends from a fallback bucket, whose rate the owner has promised to it and holds back meanwhile.

Nothing here does I/O. Times are seconds on the clock of the node that holds the state.
"""

import math
from collections import deque
from typing import NamedTuple

# Entry nodes ask for the demand of this time, and the owner can grant as much in advance.
BATCH_SECONDS = 0.25
# Tokens are requested again when they last for less than this; longer than a slow round trip.
_LOW_WATER_SECONDS = 0.1
# Below this batch a node asks for single tokens, so that no token expires at a quiet node.
_MIN_BATCH = 2
_DEMAND_SECONDS = 0.5
TOKEN_SECONDS = 1.0
HOLD_SECONDS = 0.02
_SILENT_RETRY_SECONDS = 0.1
# A reply without a positive wait would let a node ask once for each refused request.
_MIN_WAIT_SECONDS = 0.03
# Demand above which the owner promises a fallback rate, and below which it withdraws the promise.
_PROMISE_PER_S = 5.0
_WITHDRAW_PER_S = 3.0
# A promised rate may be used for this long without a word of the owner.
PROMISE_SECONDS = 2.0
# The owner holds the promised rate of a node back that is silent for this long. The node itself
# reports at each tick that comes _REPORT_SECONDS after its last request; ticks are 0.2 s apart.
_QUIET_SECONDS = 0.5
_REPORT_SECONDS = 0.15
# A node is idle when this many requests less than usual have come since the last one.
_IDLE_REQUESTS = 3
_SWEEP_SECONDS = 0.1
_SHORTAGE_SECONDS = 0.5
# For this long after a change of owner, other hosts may still hold promises of the earlier one.
_TAKEOVER_SECONDS = 1.0
# Demand, as a multiple of the rate, from which nodes are told to ask at longer intervals: so long
# that a request gets about this many tokens, and at most the given time, give or take a quarter.
_HOT_RATIO = 1.2
_HOT_TOKENS_PER_REQUEST = 2.0
_HOT_WAIT_SECONDS = 0.2
_HOT_WAIT_SPREAD = (0.75, 1.25)
# Half of the rate is promised by demand; the other half is divided among all known hosts.
_PROMISED_SHARE = 0.5
# What all fallback buckets together may save up: a part of a second's rate, and some requests.
# These are less than the margins of the quota's window, quota_over and quota_slack.
_SAVED_SECONDS = 0.05
_SAVED_REQUESTS = 5.0
_PROMISE_SAVED_SECONDS = 0.05
# An owner that is alive, but not reachable, needs this long to hold back what the fallback buckets
# give. Until then they fill at a part of their rate.
_ONSET_SECONDS = 1.0
_ONSET_PART = 0.2
# After that, a node without a promise may save up its rate of this time, because it gets only a
# request now and then.
_BASE_SAVED_SECONDS = 1.0
# If the owner was alive, what a fallback bucket gave is deducted from its next tokens, up to the
# bucket's rate in this time.
_DEBT_SECONDS = 1.0


class TokenRequest(NamedTuple):
    """Asks the owner of an organisation's quota for tokens.

    :param organisation: the organisation's name.
    :param number: the number of the request; later requests of a node have greater ones.
    :param wanted: the number of tokens; negative to give unspent tokens back.
    :param demand_per_s: the organisation's requests at the node, per second.
    :param config_version: the version of the configuration in force at the node.
    """

    organisation: str
    number: int
    wanted: int
    demand_per_s: float
    config_version: float


class TokenReply(NamedTuple):
    """The owner's reply to a :class:`TokenRequest`.

    :param organisation: the organisation's name.
    :param number: the number of the request.
    :param granted: the number of tokens, at most as many as were wanted.
    :param wait_s: seconds in which further requests are in vain; 0.0 if all tokens were granted.
    :param fallback_per_s: the rate of the node's fallback bucket, in requests per second.
    """

    organisation: str
    number: int
    granted: int
    wait_s: float
    fallback_per_s: float


class FleetSize(NamedTuple):
    """How many hosts a node knows, itself included.

    :param responding: an estimate of how many respond; hosts that are suspected don't count.
    :param known: all hosts.
    """

    responding: float
    known: int


class Verdict(NamedTuple):
    """The decision about one request.

    :param is_admitted: whether the request may run.
    :param is_fallback: whether the fallback bucket decided.
    :param expires_at: when the spent token would have expired; 0.0 without one.
    :param wait_s: seconds until a request may be admitted again, of a refused request.
    """

    is_admitted: bool
    is_fallback: bool = False
    expires_at: float = 0.0
    wait_s: float = 0.0


class OwnerBucket:
    """The token bucket of one organisation at its owner.

    :param since: since when this host has been the owner; the bucket was empty then.
    """

    def __init__(self, since):
        self._since = since
        self._filled_at = since
        self._swept_at = since
        self._tokens = 0.0
        # By asking node.
        self._askers = {}
        self._promise_total = 0.0
        self._demand_per_s = 0.0
        self._held_back_per_s = 0.0
        self._recent_askers = 0
        self._busy_askers = 0
        self._shortage_until = -math.inf

    def grant(self, asker, request, organisation, fleet, is_owner, now, random):
        """Grant tokens to an entry node.

        :param asker: identifies the node.
        :param request: its :class:`TokenRequest`.
        :param organisation: the :class:`~camphorshelf_core.organisations.Organisation` with the
            limits in force here.
        :param fleet: the :class:`FleetSize`.
        :param is_owner: whether this host is the owner in its own view.
        :param now: seconds.
        :param random: the source of random numbers.
        :return: the :class:`TokenReply`.
        """
        rate = organisation.rate_per_s
        state = self._askers.get(asker)
        if state is None:
            state = self._askers[asker] = _Asker()
        elif request.number == state.reply.number:
            return state.reply
        self._record(state, request, now)
        share = self._share(fleet, is_owner, now)
        fill_per_s = self._fill(organisation, share, now)
        granted = 0
        if request.wanted > 0:
            granted = self._take(request.wanted, rate * share, now, random)
        else:
            self._tokens -= request.wanted
        wait_s = 0.0
        if granted < request.wanted:
            wait_s = self._wait_s(fill_per_s, rate, random)
        fallback_per_s = self._promise(state, rate, fleet.known)
        state.reply = TokenReply(
            request.organisation,
            request.number,
            granted,
            round(wait_s, 3),
            round(fallback_per_s, 4),
        )
        return state.reply

    def _record(self, state, request, now):
        state.heard_at = now
        state.demand_per_s = request.demand_per_s
        if now - self._swept_at < _SWEEP_SECONDS:
            return
        self._swept_at = now
        self._askers = {
            name: one for name, one in self._askers.items() if now - one.heard_at < PROMISE_SECONDS
        }
        askers = self._askers.values()
        recent = [one for one in askers if now - one.heard_at < _TAKEOVER_SECONDS]
        self._recent_askers = len(recent)
        self._busy_askers = sum(
            one.demand_per_s > 0 and now - one.heard_at < _QUIET_SECONDS for one in recent
        )
        self._demand_per_s = sum(one.demand_per_s for one in recent)
        self._promise_total = sum(one.demand_per_s for one in recent if one.promise_per_s)
        self._held_back_per_s = sum(
            one.promise_per_s for one in askers if now - one.heard_at > _QUIET_SECONDS
        )

    def _share(self, fleet, is_owner, now):
        responding = fleet.responding
        if not is_owner or now - self._since < _TAKEOVER_SECONDS:
            # Other nodes may still be served by another owner or by its promises. Those that ask
            # here are not.
            responding = min(responding, max(1, self._recent_askers))
        return min(1.0, responding / fleet.known)

    def _fill(self, organisation, share, now):
        rate = organisation.rate_per_s
        capacity = max(1.0, organisation.burst) + rate * BATCH_SECONDS
        fill_per_s = max(0.0, rate * share - self._held_back_per_s)
        self._tokens += fill_per_s * max(0.0, now - self._filled_at)
        self._tokens = min(self._tokens, max(1.0, capacity * share))
        self._filled_at = now
        return fill_per_s

    def _take(self, wanted, rate, now, random):
        if wanted > self._tokens:
            self._shortage_until = now + _SHORTAGE_SECONDS
        granted = min(wanted, int(self._tokens))
        if now < self._shortage_until:
            # Every node gets the same part of what it wants. The part settles where the tokens
            # granted are those that flow in, so the bucket neither overflows nor stays empty.
            part = 1.25 * self._tokens / (1.0 + rate * BATCH_SECONDS)
            if part < 1.0:
                granted = min(granted, int(wanted * part + random.random()))
        self._tokens -= granted
        return granted

    def _wait_s(self, fill_per_s, rate, random):
        missing = max(0.0, 1.0 - self._tokens)
        wait_s = min(TOKEN_SECONDS, missing / fill_per_s) if fill_per_s > 0 else TOKEN_SECONDS
        if self._demand_per_s > _HOT_RATIO * rate and fill_per_s > 0:
            hot_wait_s = self._busy_askers * _HOT_TOKENS_PER_REQUEST / fill_per_s
            hot_wait_s = min(_HOT_WAIT_SECONDS, hot_wait_s) * random.uniform(*_HOT_WAIT_SPREAD)
            wait_s = max(wait_s, hot_wait_s)
        return max(wait_s, _MIN_WAIT_SECONDS)

    def _promise(self, state, rate, known):
        demand = state.demand_per_s
        base_per_s = base_fallback(rate, known)
        if demand < (_WITHDRAW_PER_S if state.promise_per_s else _PROMISE_PER_S):
            state.promise_per_s = 0.0
            return base_per_s
        if not state.promise_per_s:
            self._promise_total += demand
        total = max(demand, self._promise_total)
        state.promise_per_s = rate * _PROMISED_SHARE * demand / total
        return state.promise_per_s + base_per_s


class _Asker:
    """What the owner holds of one asking node."""

    __slots__ = ("heard_at", "demand_per_s", "promise_per_s", "reply")

    def __init__(self):
        self.heard_at = -math.inf
        self.demand_per_s = 0.0
        self.promise_per_s = 0.0
        # The last reply, which is also that to a duplicate of the request.
        self.reply = None


def base_fallback(rate, known):
    """Compute the fallback rate of a node without a promise of the owner.

    :param rate: the organisation's rate, in requests per second.
    :param known: how many hosts are known.
    :return: requests per second.
    """
    return rate * (1 - _PROMISED_SHARE) / known


class FallbackBucket:
    """The bucket from which an entry node spends while the owner is silent.

    :param now: seconds.
    """

    def __init__(self, now):
        self._tokens = 0.0
        self._capacity = 0.0
        self._filled_at = now

    def advance(self, rate, promised_per_s, known, silent_s, now):
        """Fill the bucket.

        :param rate: the organisation's rate, in requests per second.
        :param promised_per_s: the fallback rate that the owner has sent; None without one.
        :param known: how many hosts are known.
        :param silent_s: for how long the owner has been silent, in seconds.
        :param now: seconds.
        :return: the rate at which the bucket fills, in requests per second.
        """
        base_per_s = base_fallback(rate, known)
        fill_per_s = base_per_s if promised_per_s is None else promised_per_s
        self._capacity = (_SAVED_SECONDS * rate + _SAVED_REQUESTS) / known
        self._capacity += _PROMISE_SAVED_SECONDS * max(0.0, fill_per_s - base_per_s)
        if silent_s < _ONSET_SECONDS:
            fill_per_s *= _ONSET_PART
        elif fill_per_s <= base_per_s:
            self._capacity += _BASE_SAVED_SECONDS * base_per_s
        elapsed_s = max(0.0, now - self._filled_at)
        self._tokens = min(self._capacity, self._tokens + fill_per_s * elapsed_s)
        self._filled_at = now
        return fill_per_s

    def spend(self, random):
        """Take a token; a fraction of one counts as a probability.

        :param random: the source of random numbers.
        :return: whether a token was taken.
        """
        available = self._tokens
        if available >= 1.0:
            self._tokens -= 1.0
            return True
        # Over all nodes as many tokens are taken as are there, although none holds a whole one.
        self._tokens = 0.0
        return random.random() < available

    def give_back(self):
        """Put a token back.

        :return: None.
        """
        self._tokens = min(self._capacity, self._tokens + 1.0)


class EntryQuota:
    """The tokens of one organisation at one entry node, and the requests that wait for them.

    :param numbers: an iterator over the numbers of token requests, increasing over the node.
    :param random: the source of random numbers.
    :param now: seconds.
    """

    def __init__(self, numbers, random, now):
        self._numbers = numbers
        self._random = random
        self._owner = None
        # Lists of expiry and number of tokens, oldest first.
        self._batches = deque()
        # The latest time to decide and the waiter of each held request, oldest first.
        self._held = deque()
        # When each token request without a reply was sent and the demand in it, by its number.
        self._unanswered = {}
        self._asked_at = -math.inf
        self._last_number = None
        # When the first token request was sent of those that the owner has not replied to.
        self._silent_since = now
        # Requests admitted by the fallback bucket that the owner doesn't know of.
        self._debt = 0
        # Whether the owner was silent when the last token request was sent.
        self._was_silent = False
        self._wait_until = -math.inf
        self._demand_per_s = 0.0
        self._demand_at = now
        # Whether the owner may hold a promised rate back for this node.
        self._is_promised = False
        self._promised_per_s = None
        self._replied_at = -math.inf
        self._fallback = FallbackBucket(now)

    @property
    def is_promised(self):
        """Whether :meth:`poll` has to be called although no request arrives."""
        return self._is_promised

    @property
    def due_at(self):
        """The latest time to decide about the oldest held request; None if none is held."""
        return self._held[0][0] if self._held else None

    def is_idle(self, now):
        """Tell whether nothing is lost if this state is dropped.

        :param now: seconds.
        :return: True or False.
        """
        return not (self._held or self._is_promised) and now - self._demand_at > PROMISE_SECONDS

    def is_silent(self, now):
        """Tell whether the owner has not replied in time, and requests are not held for it.

        :param now: seconds.
        :return: True or False.
        """
        if self._last_number not in self._unanswered:
            return False
        earliest_s = 0.0 if self._was_silent else HOLD_SECONDS
        return earliest_s <= now - self._asked_at < TOKEN_SECONDS

    def set_owner(self, owner, now):
        """Set the owner to ask; tokens of the one before stay valid.

        :param owner: the owner's address.
        :param now: seconds.
        :return: whether another host was the owner before.
        """
        before, self._owner = self._owner, owner
        if before in (None, owner):
            return False
        self._last_number = None
        self._silent_since = now
        self._debt = 0
        self._wait_until = -math.inf
        return True

    def acquire(self, waiter, rate, known, now):
        """Decide about a request, or hold it until the owner replies.

        :param waiter: identifies the request in the result of :meth:`settle`.
        :param rate: the organisation's rate, in requests per second.
        :param known: how many hosts are known.
        :param now: seconds.
        :return: the :class:`Verdict`; None if the request is held.
        """
        self._demand_per_s = self._demand(now) + 1 / _DEMAND_SECONDS
        self._demand_at = now
        verdict = None if self._held else self._decide(rate, known, now)
        if verdict is None:
            self._held.append((now + HOLD_SECONDS, waiter))
        return verdict

    def settle(self, rate, known, now):
        """Decide about the held requests, as far as possible.

        :param rate: the organisation's rate, in requests per second.
        :param known: how many hosts are known.
        :param now: seconds.
        :return: a list of pairs of waiter and :class:`Verdict`.
        """
        settled = []
        while self._held:
            due_at, waiter = self._held[0]
            verdict = self._decide(rate, known, now)
            if verdict is None and now >= due_at:
                verdict = self._spend_fallback(rate, known, now)
            if verdict is None:
                break
            self._held.popleft()
            settled.append((waiter, verdict))
        return settled

    def poll(self, organisation, version, now):
        """Make the token request that is due.

        :param organisation: the organisation's name.
        :param version: the version of the configuration in force.
        :param now: seconds.
        :return: the :class:`TokenRequest`, or None.
        """
        if not self._may_ask(now):
            return None
        demand = self._demand(now)
        if (now - self._demand_at) * self._demand_per_s >= _IDLE_REQUESTS:
            demand = 0.0
        is_report_due = self._is_promised and now - self._asked_at >= _REPORT_SECONDS
        wanted = self._wanted(demand, now)
        if wanted == 0 and not is_report_due:
            return None
        if is_report_due and wanted == 0:
            wanted = -self._remove_excess(math.ceil(demand * BATCH_SECONDS), now)
        self._was_silent = self.is_silent(now)
        if self._last_number not in self._unanswered:
            self._silent_since = now
        number = self._last_number = next(self._numbers)
        self._unanswered = {
            one: sent for one, sent in self._unanswered.items() if now - sent[0] < TOKEN_SECONDS
        }
        self._unanswered[number] = now, demand
        self._asked_at = now
        self._is_promised = self._is_promised or demand >= _PROMISE_PER_S
        return TokenRequest(organisation, number, wanted, round(demand, 2), version)

    def on_reply(self, reply, now):
        """Handle the owner's reply; each counts once.

        :param reply: the :class:`TokenReply`.
        :param now: seconds.
        :return: None.
        """
        asked_at, demand = self._unanswered.pop(reply.number, (-math.inf, 0.0))
        if now - asked_at >= TOKEN_SECONDS:
            return
        repaid = min(self._debt, reply.granted)
        self._debt -= repaid
        if reply.granted > repaid:
            self._add(asked_at + TOKEN_SECONDS, reply.granted - repaid)
        if reply.number != self._last_number:
            return
        self._replied_at = now
        self._promised_per_s = reply.fallback_per_s
        self._is_promised = demand >= _WITHDRAW_PER_S and self._is_promised
        if reply.wait_s > 0:
            self._wait_until = now + reply.wait_s

    def give_back(self, verdict, now):
        """Take the token back of a request that has not run.

        :param verdict: the request's :class:`Verdict`.
        :param now: seconds.
        :return: None.
        """
        if verdict.is_fallback:
            self._fallback.give_back()
        elif verdict.expires_at > now:
            self._add(verdict.expires_at, 1)

    def _demand(self, now):
        return self._demand_per_s * math.exp((self._demand_at - now) / _DEMAND_SECONDS)

    def _decide(self, rate, known, now):
        self._drop_expired(now)
        if self._batches:
            batch = self._batches[0]
            batch[1] -= 1
            if not batch[1]:
                self._batches.popleft()
            return Verdict(True, expires_at=batch[0])
        if now < self._wait_until:
            return Verdict(False, wait_s=self._wait_until - now)
        if self.is_silent(now):
            return self._spend_fallback(rate, known, now)
        return None

    def _spend_fallback(self, rate, known, now):
        is_valid = now - self._replied_at < PROMISE_SECONDS
        promised_per_s = self._promised_per_s if is_valid else None
        silent_s = now - self._silent_since
        fill_per_s = self._fallback.advance(rate, promised_per_s, known, silent_s, now)
        is_admitted = self._fallback.spend(self._random)
        if is_admitted:
            self._debt = min(self._debt + 1, 1 + int(fill_per_s * _DEBT_SECONDS))
        return Verdict(is_admitted, is_fallback=True, wait_s=_SILENT_RETRY_SECONDS)

    def _may_ask(self, now):
        if self._last_number not in self._unanswered:
            return True
        since_s = now - self._asked_at
        return since_s >= (_SILENT_RETRY_SECONDS if self.is_silent(now) else HOLD_SECONDS)

    def _wanted(self, demand, now):
        if now < self._wait_until:
            return 0
        self._drop_expired(now)
        tokens = sum(batch[1] for batch in self._batches)
        batch = int(demand * BATCH_SECONDS)
        needed = max(len(self._held), int(self.is_silent(now)))
        if needed > tokens:
            return max(needed, batch) - tokens + self._debt
        if batch >= _MIN_BATCH and tokens <= demand * _LOW_WATER_SECONDS:
            return batch - tokens + self._debt
        return 0

    def _drop_expired(self, now):
        while self._batches and self._batches[0][0] <= now:
            self._batches.popleft()

    def _add(self, expires_at, count):
        self._batches.append([expires_at, count])
        if len(self._batches) > 1 and self._batches[-2][0] > expires_at:
            self._batches = deque(sorted(self._batches))

    def _remove_excess(self, needed, now):
        self._drop_expired(now)
        excess = sum(batch[1] for batch in self._batches) - needed
        left = max(0, excess)
        while left:
            batch = self._batches[-1]
            count = min(left, batch[1])
            batch[1] -= count
            left -= count
            if not batch[1]:
                self._batches.pop()
        return max(0, excess)
