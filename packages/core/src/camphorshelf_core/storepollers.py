"""Decides which nodes poll the store for a new configuration.

Calls to the store are paid for, and all nodes share its rate limit. If every node read every
change, each change would cost as many calls as there are nodes. So only a few nodes poll, the first
ones in the order of a hash of their names, and the others receive changes from them.

The pollers may fail all at once, and it takes seconds until they count as gone. So each node tracks
how old its last contact with the store is, directly or through others, and polls by itself before a
change could be unknown to it for too long. This depends on no other node.
"""

import math
from functools import lru_cache
from hashlib import blake2b
from itertools import islice

# With three, changes still spread at once when one poller is gone and another has no store access.
POLLER_COUNT = 3
# When this many nodes lack store access, the store is probably down for all. The other nodes then
# no longer try one after another but at random, at a rate that is bounded for all nodes together.
_OUTAGE_NODES = 12
OUTAGE_POLLS_PER_SECOND = 3.0
# The same for nodes whose contact is overdue while only a few nodes lack store access: the pollers
# have failed to reach the store, which may still serve others.
_PARTIAL_OUTAGE_POLLS_PER_SECOND = 12.0
# Shares of the time for which a change may be unknown to a node. The longest interval between two
# polls of a poller is shorter than the lowest age at which another node polls. What is left above
# the highest age is for the poll itself.
_POLL_INTERVAL_SHARE = 0.5
_MIN_OVERDUE_SHARE = 0.55
_MAX_OVERDUE_SHARE = 0.75
_MAX_POLL_INTERVAL_SECONDS = 1.0


def is_poller(name, others):
    """Tell whether a node should poll the store.

    The pollers are the first nodes with store access, in an order that is the same on all nodes.
    When they lose their access, the next three become pollers, and so on. In an outage of the
    store, each node therefore polls once, but not all nodes at the same time.

    :param name: the node's own name.
    :param others: pairs of a live node's name and whether that node lacks store access; an
        iterator is read only as far as needed.
    :return: True or False.
    """
    return (
        _count_before(name, (other for other, lacks_access in others if not lacks_access))
        < POLLER_COUNT
    )


def first_poll_probability(lacking_count, others_count, seconds):
    """Compute the probability with which a node that became a poller makes its first poll now.

    :param lacking_count: how many other live nodes lack store access.
    :param others_count: how many other nodes are live.
    :param seconds: the time until the next decision, in seconds.
    :return: a probability from 0 to 1.
    """
    if lacking_count < _OUTAGE_NODES:
        return 1.0
    return min(1.0, OUTAGE_POLLS_PER_SECOND * seconds / (others_count + 1))


def overdue_poll_probability(lacking_count, others_count, seconds):
    """Compute the probability with which a node whose contact is overdue polls now.

    Pollers that have lost power report nothing, so all others may poll at once. Pollers that report
    failures show that the store is down, at least in part.

    :param lacking_count: how many other nodes have lost store access since the last contact.
    :param others_count: how many other nodes are live.
    :param seconds: the time until the next decision, in seconds.
    :return: a probability from 0 to 1.
    """
    if lacking_count < POLLER_COUNT:
        return 1.0
    is_partial = lacking_count < _OUTAGE_NODES
    rate = _PARTIAL_OUTAGE_POLLS_PER_SECOND if is_partial else OUTAGE_POLLS_PER_SECOND
    return min(1.0, rate * seconds / (others_count + 1))


def poll_interval_s(limit_s):
    """Compute the longest interval between two polls of a poller.

    :param limit_s: how long a change may be unknown to a node, in seconds.
    :return: seconds.
    """
    return min(_MAX_POLL_INTERVAL_SECONDS, limit_s * _POLL_INTERVAL_SHARE)


def min_overdue_age_s(limit_s):
    """Compute the age of the last contact from which on some node has to poll.

    :param limit_s: how long a change may be unknown to a node, in seconds.
    :return: seconds.
    """
    return limit_s * _MIN_OVERDUE_SHARE


def overdue_age_s(name, others, limit_s):
    """Compute the age of the last contact at which a node polls although it is no poller.

    Nodes poll at different ages. The first ones are far apart, so that few nodes have polled when
    the report of the first one arrives. The order only saves calls: whichever nodes have failed,
    each node polls before its contact gets older than the largest of these ages.

    :param name: the node's own name.
    :param others: the names of the other nodes that are not known to have failed.
    :param limit_s: how long a change may be unknown to a node, in seconds.
    :return: seconds.
    """
    own = _rank(name)
    others_before = sum(_rank(other) < own for other in others)
    position = max(1, others_before - POLLER_COUNT + 1)
    share = math.log(position) / math.log(max(2, len(others) + 1))
    return limit_s * (_MIN_OVERDUE_SHARE + (_MAX_OVERDUE_SHARE - _MIN_OVERDUE_SHARE) * share)


def is_default_poller(name, others):
    """Tell whether a node polls even when it lacks store access.

    The first nodes in the order of hashes always poll, so that some of them notice within a second
    when the store is available again. The other nodes learn this from them.

    :param name: the node's own name.
    :param others: as for :func:`is_poller`.
    :return: True or False.
    """
    return _count_before(name, (other for other, _ in others)) < POLLER_COUNT


def _count_before(name, others):
    # Counting stops at POLLER_COUNT: in a large fleet most nodes reach it after a few names.
    own = _rank(name)
    before = (other for other in others if _rank(other) < own)
    return sum(1 for _ in islice(before, POLLER_COUNT))


@lru_cache(maxsize=4096)
def _rank(name):
    # A hash instead of the name itself: names are ordered by failure domain, so the first three
    # would all be in the same one.
    return blake2b(name.encode(), digest_size=8).digest()
