"""Sends the fragments of large messages on all links of a node, at the rate of the host's link."""

from camphorshelf_core.linkpacing import LinkPacing


class FragmentPacer:
    """Chooses whose fragment is sent next: that of the message with the fewest bytes left.

    Finishing the shortest message first gives the smallest mean time to finish, and a small message
    is hardly delayed by large ones.

    :param loop: the node's loop.
    :param link_mbps: the rate of the host's link, in Mbit/s.
    """

    def __init__(self, loop, link_mbps):
        self._loop = loop
        self._pacing = LinkPacing(link_mbps, loop.now())
        # The channels with fragments to send, in the order in which they were added.
        self._channels = {}
        self._timer = None
        self._is_sending = False

    def record_sent(self, size):
        """Record that a channel has sent data.

        :param size: its size in bytes.
        :return: None.
        """
        self._pacing.record_sent(size, self._loop.now())

    def schedule(self, channel):
        """Send one fragment of a channel, as soon as it is its turn.

        :param channel: the :class:`~camphorshelf_node.links.Channel`, which can take a fragment now
            and schedules itself again when it can take the next one.
        :return: None.
        """
        self._channels[channel] = None
        if self._timer is None and not self._is_sending:
            self._send_due()

    def _send_due(self):
        self._timer = None
        self._is_sending = True
        try:
            self._send_while_allowed()
        finally:
            self._is_sending = False

    def _send_while_allowed(self):
        while channels := self._list_ready():
            wait_s = self._pacing.wait_s(self._loop.now())
            if wait_s > 0:
                self._timer = self._loop.call_later(wait_s, self._send_due)
                return
            channel = min(channels, key=lambda channel: channel.fewest_bytes_left)
            del self._channels[channel]
            channel.send_fragment()

    def _list_ready(self):
        # The connection of a channel may have been lost since it was scheduled.
        self._channels = {channel: None for channel in self._channels if channel.can_send_fragment}
        return list(self._channels)
