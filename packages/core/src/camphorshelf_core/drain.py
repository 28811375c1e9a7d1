"""The states of draining a target: no new calls, calls in flight finish, the target is notified."""

from enum import Enum


class Phase(Enum):
    """The state of a target; the value is sent to the target."""

    SERVING = "serving"
    LEAVING = "leaving"
    EMPTY = "empty"
    GONE = "gone"


class Source(Enum):
    """Who requested that a target leave."""

    OPERATOR = "operator"
    TARGET = "target"


class Drain:
    """Tracks who requested that the target leave, and whether it was notified that it is empty.

    An operator and the target itself can both request it; if one revokes its request, the other's
    stays in force.
    """

    def __init__(self):
        self._leave_requests = set()
        self._is_notified = False
        self._is_gone = False

    @property
    def closed(self):
        """Whether no new call may be sent to the target.

        A target that was notified may stop at any moment. Even if the request to leave is revoked,
        it gets calls only after it has announced itself again.
        """
        return bool(self._leave_requests) or self._is_notified or self._is_gone

    @property
    def is_notified(self):
        """Whether the target was notified that it is empty."""
        return self._is_notified

    def set_leaving(self, source, leaving):
        """Add or revoke a request to leave.

        :param source: a :class:`Source`.
        :param leaving: True to leave, False to stay.
        :return: None.
        """
        if leaving:
            self._leave_requests.add(source)
        else:
            self._leave_requests.discard(source)

    def phase(self, in_flight):
        """Return the target's phase.

        :param in_flight: its calls in flight.
        :return: a :class:`Phase`.
        """
        if self._is_gone:
            return Phase.GONE
        if not self._leave_requests:
            return Phase.SERVING
        return Phase.LEAVING if in_flight else Phase.EMPTY

    def must_notify(self, in_flight):
        """Return whether the target is to be notified now that it is empty.

        :param in_flight: its calls in flight.
        :return: True or False.
        """
        return self.phase(in_flight) is Phase.EMPTY and not self._is_notified

    def record_notified(self):
        """Record that the target has received the notification.

        :return: None.
        """
        self._is_notified = True

    def record_gone(self):
        """Record that the target has ended, and drop its own request; an operator's stays in force.

        :return: None.
        """
        self._is_gone = True
        self._is_notified = False
        self._leave_requests.discard(Source.TARGET)

    def record_announced(self):
        """Record that the target has announced itself.

        :return: None.
        """
        self._is_gone = False
        if not self._leave_requests:
            self._is_notified = False
