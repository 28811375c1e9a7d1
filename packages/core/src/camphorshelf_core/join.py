"""Decides how a node uses the platform's table to find peers, at a fixed cost for the whole system.

Hundreds of nodes may restart at once, or come back at the end of an outage. If each node read all
rows at its start and polled at a fixed rate, the reads would grow with the square of the number of
members and the polls with their number, and all nodes would return to the platform at once.
"""

from zlib import crc32

from .roster import MemberState

CONTACT_ROWS = 16
# All nodes together read one page per second, that is 16 of the two thousand rows per second that
# the service allows.
POLLS_PER_SECOND = 1.0
MIN_POLL_SECONDS = 10.0
# Twice the time within which a member that is wrongly considered dead refutes this. If a row is
# deleted by mistake, its node writes it again.
STALE_SECONDS = 600.0
FIRST_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 30.0


def row_key(node):
    """Build the key of a node's row, so that a page from a random key on is a random sample.

    :param node: the node's name.
    :return: the row's key.
    """
    return f"{crc32(node.encode()):08x}-{node}"


def random_row_key(random):
    """Choose a random key from which to read a page.

    :param random: a ``random.Random``.
    :return: a key, for which there may be no row.
    """
    return f"{random.getrandbits(32):08x}"


def poll_seconds(members, random):
    """Compute how long a node waits before it reads the next page.

    :param members: the number of members that the node knows.
    :param random: a ``random.Random``.
    :return: seconds.
    """
    wait = max(MIN_POLL_SECONDS, members / POLLS_PER_SECOND)
    return wait * random.uniform(0.5, 1.5)


def retry_seconds(failures, random):
    """Compute how long a node waits after it failed to reach the platform or any peer.

    The wait is randomised: all nodes lose the platform at the same time, and would otherwise all
    return to it at the same time.

    :param failures: the number of consecutive failed attempts, at least 1.
    :param random: a ``random.Random``.
    :return: seconds.
    """
    wait = min(MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2 ** min(failures, 10))
    return wait * random.uniform(0.5, 1.5)


def is_stale(member, age):
    """Tell whether a row should be deleted because its node is permanently gone.

    :param member: the known :class:`Member` of the row's node, or None.
    :param age: the seconds since the member's record last changed.
    :return: True or False; False for an unknown member, which may be alive elsewhere.
    """
    return member is not None and member.state >= MemberState.DEAD and age >= STALE_SECONDS
