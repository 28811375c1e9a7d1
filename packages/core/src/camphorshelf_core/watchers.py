"""Which nodes watch the store for a new configuration.

Calls to the store are paid for, and all nodes share its rate: a change that every node reads is
as many calls as there are nodes. So a few nodes watch, and the others hear of a change from
them. Every node that hears none of the watchers watches by itself, so a cut-off node, one that
is alone, and the nodes beside a watcher that the store turns away lose nothing.
"""

from functools import lru_cache
from hashlib import blake2b

# Three: one may be gone and one turned away by the store, and a change still comes at once.
WATCHERS = 3
# A watcher that the store has not answered for so long is no watcher: its place is taken by the
# next. The longest wait of a watch is shorter.
STALE_SECONDS = 3.0


def watches(name, others):
    """Tell whether a node should watch the store.

    :param name: the node's own name.
    :param others: pairs of name and whether the store answers that node, of all live nodes.
    :return: True or False.
    """
    able = [other for other, served in others if served]
    before = sum(1 for other in able if _rank(other) < _rank(name))
    return before < WATCHERS


def is_served(store_age_s):
    """Tell whether the store answers a node.

    :param store_age_s: seconds since the last answer, below 0 for never.
    :return: True or False.
    """
    return 0 <= store_age_s <= STALE_SECONDS


@lru_cache(maxsize=4096)
def _rank(name):
    # By a hash and not by name: names follow the failure domains, and the first three would
    # stand in one.
    return blake2b(name.encode(), digest_size=8).digest()
