"""Decides which targets of a large service an entry node talks to.

Load pattern: 2,100 entry nodes and hundreds of targets. Without it every node holds a link to
every target: 2,100 links at each, where 250 are allowed, and the reports of each grow stale as
an entry node's few calls are spread over all of them.

Every node ranks all targets by a hash of both names (rendezvous hashing) and takes the first
few, half of them in its own failure domain. A target that joins or leaves changes the subset of
only those nodes that rank it high, and no node has to know how many others there are.
"""

import hashlib

# Below this a draw has nothing to choose from and a failing target nothing to be replaced by.
LEAST_SUBSET = 3
# Hashing is even only on average; at 60% of the limit on average, exceeding it is 8 standard
# deviations away at the sizes of docs/CAPACITY.md.
_FILL = 0.6


def subset_size(wanted, targets, entries, link_limit):
    """Decide how many targets of a service an entry node uses.

    :param wanted: the most that the settings allow.
    :param targets: how many targets the service has.
    :param entries: how many nodes there are, each possibly an entry node for the service.
    :param link_limit: the most links that a target's node may hold.
    :return: a number; below ``LEAST_SUBSET`` only when there are fewer targets.
    """
    fair = int(link_limit * _FILL * targets / max(entries, 1))
    return min(targets, max(LEAST_SUBSET, min(wanted, fair)))


def choose_subset(entry, failure_domain, members, size):
    """Choose the targets that an entry node uses.

    :param entry: the entry node's name.
    :param failure_domain: its failure domain.
    :param members: all members that serve the service.
    :param size: how many to choose.
    :return: a list of members.
    """
    if len(members) <= size:
        return list(members)
    ranked = sorted(members, key=lambda member: _rank(entry, member.node))
    near = [member for member in ranked if member.failure_domain == failure_domain]
    chosen = near[: (size + 1) // 2]
    names = {member.node for member in chosen}
    rest = [member for member in ranked if member.node not in names]
    return chosen + rest[: size - len(chosen)]


def _rank(entry, target):
    return hashlib.blake2b(f"{entry}|{target}".encode(), digest_size=8).digest()
