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

    @property
    def fragment_bytes(self):
        """The largest size of a fragment, in bytes."""
        return self._pacing.fragment_bytes

    def record_sent(self, size):
        """Record that a channel has sent data.

        :param size: its size in bytes.
        :return: None.
        """
        self._pacing.record_sent(size, self._loop.now())

    def schedule(self, channel):
        """Send the fragments of a channel, as soon as it is their turn.

        :param channel: the :class:`~camphorshelf_node.links.Channel`.
        :return: None.
        """
        self._channels[channel] = None
        if self._timer is None:
            self._send_due()

    def _send_due(self):
        self._timer = None
        while channels := self._list_ready():
            wait_s = self._pacing.wait_s(self._loop.now())
            if wait_s > 0:
                self._timer = self._loop.call_later(wait_s, self._send_due)
                return
            min(channels, key=lambda channel: channel.fewest_bytes_left).send_fragment()

    def _list_ready(self):
        # A channel whose buffer is full schedules itself again when the buffer has been sent.
        self._channels = {channel: None for channel in self._channels if channel.can_send_fragment}
        return list(self._channels)
