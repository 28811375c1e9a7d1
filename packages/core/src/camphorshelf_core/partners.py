"""Decides how often a node polls the table and which peers it asks for their version."""

from .config import sha256_hex


def poll_probability(members, polls_per_second, seconds):
    """Compute the probability with which a node polls the table in a period.

    All nodes together poll at most ``polls_per_second`` times per second on average, whatever
    their number. If each of 2,100 nodes polled once per second, they would use up the table's
    limit of two thousand reads per second. A node that receives a change in no other way still
    finds it by its own poll.

    :param members: the largest number of nodes that this node has ever known, itself included.
    :param polls_per_second: the limit for the whole system.
    :param seconds: the period's length in seconds.
    :return: a probability from 0 to 1.
    """
    return min(1.0, polls_per_second * seconds / max(1, members))


def choose_partners(own, members, count):
    """Choose the peers that a node asks for their version; the choice is stable while they are up.

    Each node ranks its peers by a hash of both names, so that the choices of all nodes form a
    random graph: with four partners each, a change reaches 2,100 nodes in about six steps. At
    most half of the partners are in the node's own failure domain as long as there are enough
    others, so that each domain is connected to the rest.

    :param own: the node's own pair of name and failure domain.
    :param members: the pairs of name and failure domain of all other nodes.
    :param count: the number of partners.
    :return: a list of names.
    """
    name, domain = own
    ranked = sorted(members, key=lambda peer: _rank(name, peer[0]))
    remote = [peer[0] for peer in ranked if peer[1] != domain]
    local = [peer[0] for peer in ranked if peer[1] == domain]
    chosen_remote = remote[: count - count // 2]
    chosen = chosen_remote + local[: count - len(chosen_remote)]
    return chosen + remote[len(chosen_remote) :][: count - len(chosen)]


def _rank(name, peer):
    return sha256_hex(f"{name} {peer}".encode())
