"""Decides which nodes poll the store for a new configuration.

Calls to the store are paid for, and all nodes share its rate limit. If every node read every
change, each change would cost as many calls as there are nodes. So only a few nodes poll, the first
ones in the order of a hash of their names, and the others receive changes from them. A node that
hears from no poller polls by itself: nodes that are alone, cut off, or connected only to a poller
without store access therefore still receive all changes.
"""

from functools import lru_cache
from hashlib import blake2b
from itertools import islice

# With three, changes still spread at once when one poller is gone and another has no store access.
POLLER_COUNT = 3
# When this many nodes lack store access, the store is probably down for all. The other nodes then
# no longer try one after another but at random, at a rate that is bounded for all nodes together.
_OUTAGE_NODES = 12
OUTAGE_POLLS_PER_SECOND = 3.0


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


def first_poll_probability(others, seconds):
    """Compute the probability with which a node that became a poller makes its first poll now.

    :param others: a list of pairs as for :func:`is_poller`.
    :param seconds: the time until the next decision, in seconds.
    :return: a probability from 0 to 1.
    """
    if sum(lacks_access for _, lacks_access in others) < _OUTAGE_NODES:
        return 1.0
    return min(1.0, OUTAGE_POLLS_PER_SECOND * seconds / (len(others) + 1))


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
