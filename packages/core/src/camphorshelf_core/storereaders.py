"""Which nodes read the store for a new configuration.

Calls to the store are paid for, and all nodes share its rate: a change that every node reads is
as many calls as there are nodes. So a few nodes read, and the others hear of a change from
them. Every node that hears none of the readers reads by itself, so a cut-off node, one that
is alone, and the nodes beside a reader that the store turns away lose nothing.
"""

from functools import lru_cache
from hashlib import blake2b
from itertools import islice

# Three: one may be gone and one turned away by the store, and a change still comes at once.
READERS = 3
# When the store turns away so many nodes one after the other, it most likely turns away all: the
# others no longer try in turn but at random, together a few times a second.
_DENIED_IN_TURN = 12
TRIES_PER_SECOND = 3.0


def reads_store(name, others):
    """Tell whether a node should read the store.

    The first by an order that all agree on, of those that the store does not turn away. When it
    turns away all that read, the next three try, and so on: in an outage for all, each node tries
    once, and not all in the same moment.

    :param name: the node's own name.
    :param others: pairs of the name of a live node and whether the store turns it away; an iterator
        is taken only as far as is needed.
    :return: True or False.
    """
    return _count_before(name, (other for other, is_denied in others if not is_denied)) < READERS


def try_share(others, seconds):
    """Tell how likely a node that should read, and has not begun to, should try the store now.

    :param others: as for :func:`reads_store`.
    :param seconds: how long it is until this is asked again.
    :return: a share between 0 and 1.
    """
    if sum(is_denied for _, is_denied in others) < _DENIED_IN_TURN:
        return 1.0
    return min(1.0, TRIES_PER_SECOND * seconds / (len(others) + 1))


def keeps_trying(name, others):
    """Tell whether a node that the store turns away should go on trying every second.

    The first ones of all do, so that the store's return is seen by some within a second; the others
    hear of it from them.

    :param name: the node's own name.
    :param others: as for :func:`reads_store`.
    :return: True or False.
    """
    return _count_before(name, (other for other, _ in others)) < READERS


def _count_before(name, others):
    # Counted as far as it matters: most nodes of a large fleet find enough among the first few.
    own = _rank(name)
    before = (other for other in others if _rank(other) < own)
    return sum(1 for _ in islice(before, READERS))


@lru_cache(maxsize=4096)
def _rank(name):
    # By a hash and not by name: names follow the failure domains, and the first three would
    # stand in one.
    return blake2b(name.encode(), digest_size=8).digest()
