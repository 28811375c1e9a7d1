"""Decides which targets of a large service an entry node uses (deterministic subsetting).

With 2,100 entry nodes and hundreds of targets, a link from every node to every target would give
each target's node 2,100 links, where 250 are allowed. Each entry node would also spread its few
calls over all targets, so that its load reports of each would be out of date.

Every node ranks all targets by a hash of both names (rendezvous hashing) and uses the first few,
half of them in its own failure domain. A target that joins or leaves changes the subsets of only
those nodes that rank it high.
"""

import hashlib

# With fewer targets there is little to choose from and no replacement for a target that fails.
MIN_SUBSET_SIZE = 3
# Hashing distributes links evenly only on average. With 60% of the limit as the average, exceeding
# the limit is 8 standard deviations away at the sizes of docs/CAPACITY.md.
_LINK_UTILISATION = 0.6


def subset_size(max_size, targets, entries, link_limit):
    """Compute how many targets of a service an entry node uses.

    :param max_size: the largest number that the settings allow.
    :param targets: the number of targets of the service.
    :param entries: the number of nodes, each of which may be an entry node for the service.
    :param link_limit: the largest number of links that a target's node may hold.
    :return: the number of targets; below ``MIN_SUBSET_SIZE`` only when the service has fewer.
    """
    link_share = int(link_limit * _LINK_UTILISATION * targets / max(entries, 1))
    return min(targets, max(MIN_SUBSET_SIZE, min(max_size, link_share)))


def choose_subset(entry, failure_domain, members, size):
    """Choose the targets that an entry node uses.

    :param entry: the entry node's name.
    :param failure_domain: the entry node's failure domain.
    :param members: all members that serve the service.
    :param size: the number of targets to choose.
    :return: a list of members.
    """
    if len(members) <= size:
        return list(members)
    ranked = sorted(members, key=lambda member: _rank(entry, member.node))
    local = [member for member in ranked if member.failure_domain == failure_domain]
    chosen = local[: (size + 1) // 2]
    names = {member.node for member in chosen}
    rest = [member for member in ranked if member.node not in names]
    return chosen + rest[: size - len(chosen)]


def _rank(entry, target):
    return hashlib.blake2b(f"{entry}|{target}".encode(), digest_size=8).digest()
