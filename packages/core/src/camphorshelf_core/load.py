"""The load report of a target's node, and an entry node's view of a target's load.

Handles load that shifts within milliseconds, while every report is already old on arrival. If an
old report counted as much as a new one, all entry nodes would send to the target that *was* idle
until its queue is full, and then to the next one: herd behaviour.
"""

from typing import NamedTuple

_SMOOTHING = 0.2


class LoadReport(NamedTuple):
    """The load of a target when its node answered.

    Times are in milliseconds. ``in_flight`` and ``queued`` are exact counts, ``latency_ms`` is
    the smoothed service time. ``at_ms`` is the reporting node's monotonic clock, or 0 without one.
    ``config_version`` is the version of the configuration that the node applied.
    """

    in_flight: int
    queued: int
    slots: int
    latency_ms: float
    leaving: bool = False
    at_ms: float = 0.0
    config_version: int = 0


class LoadView:
    """One entry node's view of one target.

    The node's own calls are counted exactly at any moment. Only the calls of *other* nodes come
    from a report, so only their weight decreases as the report ages.
    """

    __slots__ = (
        "_own_in_flight",
        "_others_in_flight",
        "_reported_at",
        "_min_clock_offset",
        "_report",
        "_own_latency_ms",
        "_own_latency_at",
        "_last_answer_ms",
        "_last_answer_at",
        "_overdue",
    )

    def __init__(self):
        self._own_in_flight = 0
        self._others_in_flight = 0.0
        self._reported_at = None
        self._min_clock_offset = None
        self._report = None
        self._own_latency_ms = None
        self._own_latency_at = None
        self._last_answer_ms = None
        self._last_answer_at = None
        self._overdue = 0

    @property
    def overdue(self):
        """How many own calls are overdue while nothing shows that the target works."""
        return self._overdue

    @property
    def last_answer_at(self):
        """When this node last got a good answer from the target, or None."""
        return self._last_answer_at

    @property
    def last_answer_ms(self):
        """The latency of that answer in milliseconds, or None."""
        return self._last_answer_ms

    @property
    def own_in_flight(self):
        """How many calls of this entry node are in flight at the target."""
        return self._own_in_flight

    @property
    def others_in_flight(self):
        """How many calls of other entry nodes were at the target when the report was made."""
        return self._others_in_flight

    @property
    def report(self):
        """The newest report, or None."""
        return self._report

    def report_age(self, now):
        """Return the age of the newest report.

        :param now: seconds on the monotonic clock.
        :return: seconds, or None without a report.
        """
        return None if self._reported_at is None else max(0.0, now - self._reported_at)

    def record_sent(self):
        """Count a call on its way to the target.

        :return: None.
        """
        self._own_in_flight += 1

    def record_done(self):
        """Count a call as answered or given up.

        :return: None.
        """
        assert self._own_in_flight > 0, "a call was counted as done twice"
        self._own_in_flight -= 1

    def record_overdue(self, change):
        """Count a call that has become overdue, or an overdue call that has ended.

        :param change: 1 or -1.
        :return: None.
        """
        self._overdue += change
        assert 0 <= self._overdue <= self._own_in_flight + 1, "overdue calls do not add up"

    def record_report(self, report, now):
        """Record a report, unless a newer one is known.

        A report that was delayed on its way (by a paused peer or a full buffer) looks fresh on
        arrival. The smallest difference between both clocks seen so far belongs to a report
        without delay; the excess over it is this report's delay. The clocks needn't agree.

        :param report: the :class:`LoadReport`.
        :param now: seconds on the monotonic clock.
        :return: whether it was the newest.
        """
        made_at = now
        if report.at_ms:
            offset = now - report.at_ms / 1000
            if self._min_clock_offset is None or offset < self._min_clock_offset:
                self._min_clock_offset = offset
            made_at = report.at_ms / 1000 + self._min_clock_offset
        # A repeated report is ignored as well: the own calls to subtract from it are those at the
        # time when it was made.
        if self._reported_at is not None and made_at <= self._reported_at:
            return False
        self._report = report
        self._reported_at = made_at
        self._others_in_flight = float(
            max(0, report.in_flight + report.queued - self._own_in_flight)
        )
        return True

    def record_answer(self, milliseconds, now):
        """Record a good answer.

        :param milliseconds: from sending the call to its answer.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._last_answer_at = now
        self._last_answer_ms = milliseconds

    def record_latency(self, milliseconds, now):
        """Record the latency of a call, or its duration so far, as measured by this node.

        Only calls that weren't queued are recorded, so this is the speed of the target itself.

        :param milliseconds: from sending the call to its answer, or until now.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if self._own_latency_ms is None:
            self._own_latency_ms = milliseconds
        else:
            self._own_latency_ms += _SMOOTHING * (milliseconds - self._own_latency_ms)
        self._own_latency_at = now

    def record_slow(self, milliseconds, now):
        """Record a call that took at least this long while nothing showed that the target works.

        Without this record, a hanging target would get the next call as if nothing had happened,
        because each call is answered by another target in the end.

        :param milliseconds: from sending the call to giving it up.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._own_latency_ms = max(self._own_latency_ms or 0.0, milliseconds)
        self._own_latency_at = now

    def own_latency(self, now):
        """Return the smoothed latency that this node measured, and its age.

        :param now: seconds on the monotonic clock.
        :return: the pair of milliseconds and seconds, or None without a measurement.
        """
        if self._own_latency_ms is None:
            return None
        return self._own_latency_ms, now - self._own_latency_at
