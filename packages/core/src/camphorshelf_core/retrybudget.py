"""How often a request may be handed to a second target, kept by all nodes without talk.

Load pattern: a service whose targets fail or shed most of what they get. Each request that goes
on to another target doubles the load just when there is least room. So all nodes together may
add a share of the requests and a fixed number in a time; each node spends its part of that.
"""

from typing import NamedTuple

# Of what operators allow. A full bucket spent at once and its refill within the same window are
# together less than twice the bucket, so 0.45 of the allowance can never exceed the whole of it.
_USED_SHARE = 0.45
_MOST_RATIO_TOKENS = 6.0


class RetryTerms(NamedTuple):
    """What operators allow for one service, over all nodes.

    :param ratio: retries for each request.
    :param slack: retries in a window beside those.
    :param window_s: the window's length in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class RetryBudget:
    """One node's part of the retries to one service."""

    def __init__(self, terms, now):
        self._terms = terms
        self._nodes = 1
        self._from_requests = 0.0
        self._from_time = 0.0
        self._filled_at = now
        self.denied = 0

    def share_among(self, nodes):
        """Take the number of nodes that draw on the same allowance.

        :param nodes: how many, this one included.
        :return: None.
        """
        self._nodes = max(1, nodes)

    def note_request(self):
        """Count a request of a caller.

        :return: None.
        """
        # Twice the other share: the ratio counts requests of up to two windows.
        earned = self._terms.ratio * _USED_SHARE * 2
        self._from_requests = min(_MOST_RATIO_TOKENS, self._from_requests + earned)

    def spend(self, now):
        """Take one retry if there is one.

        :param now: seconds on the monotonic clock.
        :return: whether there was one.
        """
        self._refill(now)
        if self._from_requests >= 1:
            self._from_requests -= 1
            return True
        if self._from_time >= 1:
            self._from_time -= 1
            return True
        self.denied += 1
        return False

    def _refill(self, now):
        # At least one token fits, or nodes of a large system could never retry at all; they fill
        # it slowly enough to keep to their part.
        part = self._terms.slack * _USED_SHARE / self._nodes
        rate = part / self._terms.window_s
        self._from_time = min(max(1.0, part), self._from_time + (now - self._filled_at) * rate)
        self._filled_at = now
