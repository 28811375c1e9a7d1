"""The states of a target that leaves: nothing new, the rest finished, told when empty."""

from enum import Enum


class Phase(Enum):
    """Where a target stands; the value is what the target itself is told."""

    SERVING = "serving"
    LEAVING = "leaving"
    EMPTY = "empty"
    GONE = "gone"


class Source(Enum):
    """Who wants a target to leave."""

    OPERATOR = "operator"
    TARGET = "target"


class Drain:
    """Remembers who wants the target to leave and whether it was told that it is empty.

    A target may be wanted gone by its operator and by itself; taking back one wish leaves the
    other in force.
    """

    def __init__(self):
        self._wishes = set()
        self._told = False
        self._gone = False

    @property
    def closed(self):
        """Whether no new call may reach the target.

        A target that was told to go may stop at any moment: after its leave is taken back it
        gets calls only once it has announced itself again.
        """
        return bool(self._wishes) or self._told or self._gone

    @property
    def told(self):
        """Whether the target knows that it is empty."""
        return self._told

    def wish(self, source, leaving):
        """Note that somebody wants the target to leave, or no longer wants it.

        :param source: a :class:`Source`.
        :param leaving: True to leave, False to stay.
        :return: None.
        """
        if leaving:
            self._wishes.add(source)
        else:
            self._wishes.discard(source)

    def phase(self, in_flight):
        """Tell where the target stands.

        :param in_flight: its calls in flight.
        :return: a :class:`Phase`.
        """
        if self._gone:
            return Phase.GONE
        if not self._wishes:
            return Phase.SERVING
        return Phase.LEAVING if in_flight else Phase.EMPTY

    def must_tell(self, in_flight):
        """Say whether the target is to be told now that it is empty.

        :param in_flight: its calls in flight.
        :return: True or False.
        """
        return self.phase(in_flight) is Phase.EMPTY and not self._told

    def note_told(self):
        """Note that the target took the news.

        :return: None.
        """
        self._told = True

    def note_gone(self):
        """Note that the target ended; its own wish is fulfilled, an operator's stays.

        :return: None.
        """
        self._gone = True
        self._told = False
        self._wishes.discard(Source.TARGET)

    def note_announced(self):
        """Note that the target announced itself.

        :return: None.
        """
        self._gone = False
        if not self._wishes:
            self._told = False
