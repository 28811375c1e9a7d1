"""Decides how often a node polls the table and which peers it asks for their version."""

from .config import sha256_hex


def poll_probability(members, polls_per_second, seconds):
    """Give the chance that a node polls the table in a period.

    All nodes together read at most ``polls_per_second`` on average, whatever their number: at
    2,100 nodes that each read once a second, the table's two thousand reads a second would be
    gone. Every node that is missed by all other ways of spreading is still found by its poll.

    :param members: the largest number of nodes this node has ever known of, itself included.
    :param polls_per_second: the budget of the whole system.
    :param seconds: the period's length.
    :return: a probability of 0 to 1.
    """
    return min(1.0, polls_per_second * seconds / max(1, members))


def choose_partners(own, members, count):
    """Choose the peers that a node asks for their version, the same ones as long as they live.

    Each node draws its partners by a hash of the two names, so that all draws together make a
    random graph: with four partners each, news crosses 2,100 nodes in about six steps. At most
    half are of the node's own failure domain, so that a domain has ways out.

    :param own: the own pair of name and failure domain.
    :param members: pairs of name and failure domain, without the own.
    :param count: how many.
    :return: a list of names.
    """
    name, domain = own
    ranked = sorted(members, key=lambda one: _rank(name, one[0]))
    abroad = [one[0] for one in ranked if one[1] != domain]
    home = [one[0] for one in ranked if one[1] == domain]
    first = abroad[: count - count // 2]
    chosen = first + home[: count - len(first)]
    return chosen + abroad[len(first) :][: count - len(chosen)]


def _rank(one, other):
    return sha256_hex(f"{one} {other}".encode())
