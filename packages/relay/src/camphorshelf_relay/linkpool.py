"""The links (persistent connections) to other nodes, at most one per host."""

from camphorshelf_node.linkmemory import LinkMemory
from camphorshelf_node.links import PeerLink

# A link accepts no new requests if nothing has arrived on it for this long while a reply is due.
LINK_SILENCE_SECONDS = 0.6


class LinkPool:
    """Opens a link to a host on first use and reuses it afterwards.

    :param loop: the node's loop.
    :param is_alive: takes a host's link address, and returns whether datagrams of the host still
        arrive.
    :param probe: takes a host's link address and sends the host a probe.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`, or None.
    """

    def __init__(self, loop, is_alive, probe, memory=None):
        self._loop = loop
        self._memory = memory
        self._is_alive = is_alive
        self._probe = probe
        self._links = {}

    def link(self, address):
        """Return the open link to a host, or open a new one.

        :param address: the host's link address, as ``ip:port``.
        :return: a :class:`~camphorshelf_node.links.PeerLink`.
        """
        link = self._links.get(address)
        if link is None or link.closed:
            ip, _, port = address.rpartition(":")
            link = self._links[address] = PeerLink(
                self._loop,
                (ip, int(port)),
                LINK_SILENCE_SECONDS,
                lambda: self._is_alive(address),
                lambda: self._probe(address),
                announces_streams=True,
                memory=None if self._memory is None else LinkMemory(self._memory),
            )
        return link

    def drop(self, address):
        """Close and remove the link to a host, if there is one.

        :param address: the host's link address.
        :return: None.
        """
        link = self._links.pop(address, None)
        if link is not None:
            link.close()
