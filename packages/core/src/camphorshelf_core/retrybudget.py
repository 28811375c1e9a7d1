"""The retry budget of a service, kept by all nodes together without coordination.

Load pattern: a service whose targets fail or shed most of what they get. Each request that goes
on to another target adds load just when there is least room, and a run that is repeated makes its
own calls again. So all nodes together may add a share of the requests and a fixed number in a
time; each node spends its part of that and asks nobody.
"""

import math
from typing import NamedTuple

# Of what operators allow: some is left for what is kept for a moment and spent together with
# what is earned meanwhile, and for the repeated calls of other services' reruns.
_RATIO_SHARE = 0.4
_SLACK_SHARE = 0.2
# A request that was shed unrun costs its service one arrival more. A rerun makes its calls again,
# and each of those counts as a retry at the service that is called.
_RERUN_SHARE = 0.5
# Retries that were not used must not add up to a burst later: they fade within some seconds.
_KEPT_SECONDS = 2.0


class RetryLimits(NamedTuple):
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

    def __init__(self, terms, random, now):
        self._terms = terms
        self._random = random
        self._nodes = 1
        self._all = _Pool(terms, 1.0, now)
        self._reruns = _Pool(terms, _RERUN_SHARE, now)

    def set_node_count(self, nodes):
        """Take the number of nodes that draw on the same allowance.

        :param nodes: how many, this one included.
        :return: None.
        """
        self._nodes = max(1, nodes)

    def record_request(self, now):
        """Count a request of a caller.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        for pool in (self._all, self._reruns):
            pool.pass_time(now, self._nodes)
            pool.record_request()

    def spend(self, now, is_rerun=False):
        """Take one retry if there is one.

        :param now: seconds on the monotonic clock.
        :param is_rerun: whether the request may have run before, and would make its calls again.
        :return: whether there was one.
        """
        pools = (self._reruns, self._all) if is_rerun else (self._all,)
        for pool in pools:
            pool.pass_time(now, self._nodes)
        return all(pool.draw(self._random) for pool in pools)


class _Pool:
    """Retries that were earned and not yet spent.

    :param share: of what a retry of any kind may take.
    """

    def __init__(self, terms, share, now):
        self._ratio = terms.ratio * _RATIO_SHARE * share
        self._slack = terms.slack * _SLACK_SHARE * share
        self._window_s = terms.window_s
        self._from_requests = 0.0
        # A node that was just started has its whole part: callers retried by it are as few as
        # those of any other. All nodes started anew at once are still within the allowance.
        self._from_time = self._slack
        self._at = now

    def record_request(self):
        self._from_requests += self._ratio

    def draw(self, random):
        there = self._from_requests + self._from_time
        if there >= 1:
            taken = min(1.0, self._from_requests)
            self._from_requests -= taken
            self._from_time -= 1 - taken
            return True
        # A node of a large system seldom holds a whole one. It draws with the part that it holds as
        # the chance and gives that part up, so all nodes together take as many as they hold.
        self._from_requests = self._from_time = 0.0
        return random.random() < there

    def pass_time(self, now, nodes):
        passed = now - self._at
        self._at = now
        self._from_requests *= math.exp(-passed / _KEPT_SECONDS)
        part = self._slack / nodes
        self._from_time = min(part, self._from_time + part * passed / self._window_s)
