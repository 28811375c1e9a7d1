"""The links to other hosts' nodes, one to each that was used."""

from camphorshelf_node.links import PeerLink

# A link without any sign of life for so long while an answer is due takes no new requests.
LINK_SILENCE_SECONDS = 0.6


class LinkPool:
    """Opens links when they are first used and hands them out again."""

    def __init__(self, loop, is_alive, probe):
        self._loop = loop
        self._is_alive = is_alive
        self._probe = probe
        self._links = {}

    def link(self, address):
        """Find the link to a host, or open one.

        :param address: the host's address for links.
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
            )
        return link

    def drop(self, address):
        """Close the link to a host that is forgotten.

        :param address: the host's address for links.
        :return: None.
        """
        link = self._links.pop(address, None)
        if link is not None:
            link.close()
