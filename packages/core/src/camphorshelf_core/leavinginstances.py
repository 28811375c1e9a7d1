"""Remembers the targets' processes that have said in a response that they are about to end.

A target's own node stops sending to such a process. But if that node is restarted, it may not learn
of it again: not every target announces in its heartbeats that it leaves. So each entry node also
remembers what the responses that it has passed on have said.
"""

from typing import NamedTuple

# A leaving process has ended by then. A process of the same id that is started later is used again.
_MAX_AGE_SECONDS = 60.0
_MAX_INSTANCES = 256


class _Report(NamedTuple):
    recorded_at: float
    incarnation: str
    sequence: int


class LeavingInstances:
    """The processes that have said that they leave, with the status of their host at that time."""

    def __init__(self):
        self._reports = {}

    def record(self, status, now):
        """Record that the process in a host's status is about to end.

        :param status: the :class:`~camphorshelf_core.hosts.HostStatus` for which the process was
            chosen.
        :param now: seconds on the monotonic clock.
        :return: whether the process was not recorded before.
        """
        is_new = self._reports.pop(status.instance, None) is None
        self._reports[status.instance] = _Report(now, status.incarnation, status.sequence)
        if len(self._reports) > _MAX_INSTANCES:
            del self._reports[next(iter(self._reports))]
        return is_new

    def is_leaving(self, status, now):
        """Tell whether requests must not be sent to the process in a host's status.

        :param status: the :class:`~camphorshelf_core.hosts.HostStatus`.
        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        report = self._reports.get(status.instance)
        if report is None or now - report.recorded_at > _MAX_AGE_SECONDS:
            return False
        # While the node that has read the response runs, it knows what the process has said, and
        # its later statuses take that into account.
        is_same_node = status.incarnation == report.incarnation
        return not (is_same_node and status.sequence > report.sequence)
