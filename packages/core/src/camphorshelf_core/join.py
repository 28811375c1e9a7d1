"""Decides how a node uses the platform's table to find peers, at a cost fixed for the system.

Answers restarts by the hundred and the end of an outage. Without it, nodes would read all rows
at each start (members squared), poll each at the same rate (members times the rate), and come
back to the platform all at once.
"""

from zlib import crc32

from .roster import MemberState

CONTACT_ROWS = 16
# All nodes together read one page a second, 16 rows of the two thousand that the service gives.
POLLS_PER_SECOND = 1.0
MIN_POLL_SECONDS = 10.0
# Twice the time in which a member that only looks dead has contradicted; its row is written
# again by itself if it was deleted wrongly.
STALE_SECONDS = 600.0
FIRST_RETRY_SECONDS = 0.25
MAX_RETRY_SECONDS = 30.0


def row_key(node):
    """Name a node's row so that a page from a random place is a random sample.

    :param node: the node's name.
    :return: the row's key.
    """
    return f"{crc32(node.encode()):08x}-{node}"


def random_row_key(random):
    """Choose where to begin to read.

    :param random: a ``random.Random``.
    :return: a key that need not exist.
    """
    return f"{random.getrandbits(32):08x}"


def poll_seconds(members, random):
    """Tell how long a node waits until it reads the next page.

    :param members: how many members it knows.
    :param random: a ``random.Random``.
    :return: seconds.
    """
    wait = max(MIN_POLL_SECONDS, members / POLLS_PER_SECOND)
    return wait * random.uniform(0.5, 1.5)


def retry_seconds(failures, random):
    """Tell how long a node waits after failing to reach the platform or any peer.

    All nodes lose the platform at the same moment; without the spread they would all come back
    to it at the same moment too.

    :param failures: how many attempts in a row have failed, at least 1.
    :param random: a ``random.Random``.
    :return: seconds.
    """
    wait = min(MAX_RETRY_SECONDS, FIRST_RETRY_SECONDS * 2 ** min(failures, 10))
    return wait * random.uniform(0.5, 1.5)


def is_stale(member, age):
    """Tell whether a row's host is gone for good, so that its row only misleads.

    :param member: what is known of the row's member, or None.
    :param age: the seconds since that was last changed.
    :return: True or False; False for a member that is not known, it may live elsewhere.
    """
    return member is not None and member.state >= MemberState.DEAD and age >= STALE_SECONDS
