"""Decides in which sizes a link between nodes carries large messages.

It answers the load of large responses on slow links: on a link of 5.5 Mbit/s a response of 540 kB
takes 0.8 s, and a small response that is sent after it must not wait for it. A large message is
sent in fragments. A small message waits for the fragments that were handed to the connection before
it, so both the size of a fragment and the amount handed over ahead follow the rate of the link.
"""

from typing import NamedTuple

# How long a small message may wait behind a large one.
_MAX_WAIT_SECONDS = 0.01
# The sizes for fast links and for links of unknown rate.
_DEFAULT_FRAGMENT_BYTES = 64 * 1024
_DEFAULT_WINDOW_BYTES = 64 * 1024
# On faster links a fragment of the default size takes less than the longest wait.
_FAST_LINK_MBPS = 100
# The headers of a fragment (CBOR, WebSocket, TCP, IP) take some 80 bytes, 8 % of this.
_MIN_FRAGMENT_BYTES = 1024


class LinkChunks(NamedTuple):
    """The sizes in which one link carries large messages.

    :param fragment_bytes: the size of a fragment; smaller messages are sent whole.
    :param window_bytes: while at least this much waits to be sent, no further fragment is added.
    :param is_paced: whether data that waits in the kernel counts as well. If not, only data counts
        that the kernel has not accepted yet.
    """

    fragment_bytes: int = _DEFAULT_FRAGMENT_BYTES
    window_bytes: int = _DEFAULT_WINDOW_BYTES
    is_paced: bool = False


def choose_chunks(link_mbps):
    """Choose the sizes for a link.

    A message that is sent behind a fragment finds at most that fragment and a window's worth of
    earlier data ahead of it. Together they take no longer than the longest wait, except on links
    below 1.7 Mbit/s, where fragments would become too small.

    :param link_mbps: the rate of the host's link, in Mbit/s; None if it is not known.
    :return: the :class:`LinkChunks`.
    """
    if link_mbps is None or not link_mbps < _FAST_LINK_MBPS:
        return LinkChunks()
    max_ahead_bytes = int(link_mbps * 1_000_000 / 8 * _MAX_WAIT_SECONDS)
    size = min(_DEFAULT_FRAGMENT_BYTES, max(_MIN_FRAGMENT_BYTES, max_ahead_bytes // 2))
    return LinkChunks(size, size, is_paced=True)
