"""Which nodes poll the store for a new configuration.

Calls to the store are paid for, and all nodes share its rate: a change that every node reads is
as many calls as there are nodes. So a few nodes poll, the first by a hash of their names, and the
others hear of a change from them. A node that hears none of the pollers polls by itself, so a
cut-off node, one that is alone, and the nodes beside a poller that has lost its store access lose
nothing.
"""

from functools import lru_cache
from hashlib import blake2b
from itertools import islice

# Three: one may be gone and one without store access, and a change still comes at once.
POLLER_COUNT = 3
# With so many nodes without store access the store is most likely down for all: the others no
# longer try in turn but at random, at a bounded rate for all nodes together.
_OUTAGE_NODES = 12
OUTAGE_POLLS_PER_SECOND = 3.0


def is_poller(name, others):
    """Tell whether a node should poll the store.

    The first in the order that all agree on, of those with store access. When all pollers lose
    their access, the next three try, and so on: in an outage for all, each node tries once, and
    not all in the same moment.

    :param name: the node's own name.
    :param others: pairs of the name of a live node and whether it lacks store access; an iterator
        is taken only as far as is needed.
    :return: True or False.
    """
    return (
        _count_before(name, (other for other, lacks_access in others if not lacks_access)) < POLLER_COUNT
    )


def first_poll_probability(others, seconds):
    """Tell how likely a node that has become a poller should make its first poll now.

    :param others: as for :func:`is_poller`.
    :param seconds: how long it is until this is asked again.
    :return: between 0 and 1.
    """
    if sum(lacks_access for _, lacks_access in others) < _OUTAGE_NODES:
        return 1.0
    return min(1.0, OUTAGE_POLLS_PER_SECOND * seconds / (len(others) + 1))


def is_default_poller(name, others):
    """Tell whether a node polls whether or not it has store access.

    The first ones of all do, so that some see the store's return within a second; the others hear
    of it from them.

    :param name: the node's own name.
    :param others: as for :func:`is_poller`.
    :return: True or False.
    """
    return _count_before(name, (other for other, _ in others)) < POLLER_COUNT


def _count_before(name, others):
    # Counted as far as it matters: most nodes of a large fleet find enough among the first few.
    own = _rank(name)
    before = (other for other in others if _rank(other) < own)
    return sum(1 for _ in islice(before, POLLER_COUNT))


@lru_cache(maxsize=4096)
def _rank(name):
    # By a hash and not by name: names follow the failure domains, and the first three would
    # stand in one.
    return blake2b(name.encode(), digest_size=8).digest()
