"""Divides the file descriptors of a process among its listeners.

What is left is for connections to targets, to peers and to the store, and for files. A crowd at one
listener takes none of the descriptors of the others.
"""

from typing import NamedTuple

_DEFAULT_MAX_FDS = 4_100
# Reserved by the platform for files.
_RESERVED_FDS = 200
_CALLERS_SHARE = 10 / 13
# Not for callers: the other listeners, and connections that the node opens.
_MIN_OTHER_FDS = 96
_LINKS_SHARE = 1 / 13
_SMALL_SHARE = 1 / 80
_MIN_CONNECTIONS = 8


class ListenerLimits(NamedTuple):
    """How many connections each listener accepts at most.

    :param callers: the listener for callers.
    :param links: the listener for links of peers.
    :param heartbeats: the listener for the local target's heartbeats.
    :param readiness: the listener for readiness checks.
    :param metrics: the listener for scrapes.
    """

    callers: int
    links: int
    heartbeats: int
    readiness: int
    metrics: int


def divide_descriptors(max_fds):
    """Divide the descriptors of a process.

    :param max_fds: how many it may have; None if that is not known.
    :return: the :class:`ListenerLimits`.
    """
    usable = max(0, (max_fds or _DEFAULT_MAX_FDS) - _RESERVED_FDS)
    small = max(_MIN_CONNECTIONS, int(usable * _SMALL_SHARE))
    return ListenerLimits(
        callers=max(_MIN_CONNECTIONS, min(int(usable * _CALLERS_SHARE), usable - _MIN_OTHER_FDS)),
        links=max(_MIN_CONNECTIONS, int(usable * _LINKS_SHARE)),
        heartbeats=small,
        readiness=small,
        metrics=small,
    )
