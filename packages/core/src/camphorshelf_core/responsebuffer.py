"""Limits the memory that a node uses for responses that it holds until they are whole.

A target in trouble may send a body without end, on several connections at once. A limit for each
response would have to be so low that proper large ones fail, or all of them together would use up
the node's memory. So they share it, and the response that holds most has to go.
"""

# A response is copied several times on its way through the node, and a small host has 200 MB.
MAX_BYTES = 32 * 1024 * 1024


class ResponseBuffer:
    """Counts the bytes that each unfinished response holds.

    :param max_bytes: how many bytes all responses may hold together.
    """

    def __init__(self, max_bytes=MAX_BYTES):
        self._max_bytes = max_bytes
        self._held = {}
        self._held_bytes = 0

    @property
    def max_bytes(self):
        """How many bytes all responses may hold together."""
        return self._max_bytes

    @property
    def held_bytes(self):
        """How many bytes all responses hold together."""
        return self._held_bytes

    @property
    def largest(self):
        """The response that holds most, None if none holds anything."""
        return max(self._held, key=self._held.get, default=None)

    def hold(self, response, size):
        """Record how many bytes a response holds.

        :param response: any object that stands for the response.
        :param size: the number of bytes; 0 when it holds none any more.
        :return: the response that must be dropped, which may be this one; None if there is room.
        """
        self._held_bytes += size - self._held.pop(response, 0)
        if size:
            self._held[response] = size
        if self._held_bytes <= self._max_bytes:
            return None
        return self.largest
