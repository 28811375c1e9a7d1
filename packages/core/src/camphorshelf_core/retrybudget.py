"""The retry budget of a service, divided among all nodes without coordination.

If the targets of a service fail or shed most of their requests, each retry adds load when capacity
is lowest, and a request that runs again also repeats its own calls. All nodes together may
therefore send retries for a share of the requests plus a fixed number per window. Each node uses
its part of this allowance without asking others.
"""

import math
from typing import NamedTuple

# Shares of the configured limits that are used. The rest covers tokens that are saved up and spent
# at once, and calls that are repeated because other services rerun their requests.
_RATIO_SHARE = 0.4
_SLACK_SHARE = 0.2
# Share of the tokens that reruns may take. A request that was shed before it ran adds only one
# arrival; a rerun repeats its calls, and each of them counts as a retry at the called service.
_RERUN_SHARE = 0.5
# Time constant of the decay of unused tokens from requests; saved tokens would allow a burst later.
_TOKEN_DECAY_SECONDS = 2.0


class RetryLimits(NamedTuple):
    """The configured retry limits of one service over all nodes.

    :param ratio: retries per request.
    :param slack: additional retries per window.
    :param window_s: the length of the window in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class RetryBudget:
    """One node's part of the retry budget of one service."""

    def __init__(self, limits, random, now):
        self._limits = limits
        self._random = random
        self._nodes = 1
        self._any_retry = _TokenBucket(limits, 1.0, now)
        self._reruns = _TokenBucket(limits, _RERUN_SHARE, now)

    def set_node_count(self, nodes):
        """Set the number of nodes that share the budget.

        :param nodes: the number of nodes, including this one.
        :return: None.
        """
        self._nodes = max(1, nodes)

    def record_request(self, now):
        """Count a caller's request.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        for bucket in (self._any_retry, self._reruns):
            bucket.advance(now, self._nodes)
            bucket.record_request()

    def spend(self, now, is_rerun=False):
        """Take a token for a retry if there is one.

        :param now: seconds on the monotonic clock.
        :param is_rerun: whether the request may have run before and would repeat its own calls.
        :return: True if a token was taken.
        """
        buckets = (self._reruns, self._any_retry) if is_rerun else (self._any_retry,)
        for bucket in buckets:
            bucket.advance(now, self._nodes)
        return all(bucket.try_spend(self._random) for bucket in buckets)


class _TokenBucket:
    """A token bucket that is filled by requests and by time.

    :param limits: the :class:`RetryLimits` of the service.
    :param share: the share of the usable limits that this bucket gets.
    :param now: seconds on the monotonic clock.
    """

    def __init__(self, limits, share, now):
        self._ratio = limits.ratio * _RATIO_SHARE * share
        self._slack = limits.slack * _SLACK_SHARE * share
        self._window_s = limits.window_s
        self._request_tokens = 0.0
        # A new node starts with its whole part of the slack; advance() lowers this value to that
        # part. The node can send no more retries than any other, and even if all nodes start at
        # once the total stays within the limits.
        self._time_tokens = self._slack
        self._updated_at = now

    def record_request(self):
        self._request_tokens += self._ratio

    def try_spend(self, random):
        available = self._request_tokens + self._time_tokens
        if available >= 1:
            from_requests = min(1.0, self._request_tokens)
            self._request_tokens -= from_requests
            self._time_tokens -= 1 - from_requests
            return True
        # In a large system a node rarely holds a whole token. It then takes one with a probability
        # equal to the fraction it holds, and gives the fraction up either way: on average, all
        # nodes together take as many tokens as they hold.
        self._request_tokens = self._time_tokens = 0.0
        return random.random() < available

    def advance(self, now, nodes):
        elapsed_s = now - self._updated_at
        self._updated_at = now
        self._request_tokens *= math.exp(-elapsed_s / _TOKEN_DECAY_SECONDS)
        node_slack = self._slack / nodes
        self._time_tokens = min(
            node_slack, self._time_tokens + node_slack * elapsed_s / self._window_s
        )
