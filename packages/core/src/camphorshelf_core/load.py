"""The load report of a target's node, and what an entry node makes of it as it ages.

Load pattern: load that shifts within milliseconds while every report is already old on arrival.
Without the ageing all entry nodes send to the target that *was* idle, until its queue is full
and the next one looks idle: a herd that moves around.
"""

from typing import NamedTuple

_SMOOTHING = 0.2


class LoadReport(NamedTuple):
    """What a target's node knows of its target at the moment of answering.

    Times are milliseconds; ``in_flight`` and ``queued`` are exact counts; ``at_ms`` is the
    reporting node's own monotonic clock, 0 when it gives none. ``config_version`` is
    the version of the configuration by which the node acted.
    """

    in_flight: int
    queued: int
    slots: int
    latency_ms: float
    leaving: bool = False
    at_ms: float = 0.0
    config_version: int = 0


class LoadView:
    """What one entry node knows of one target.

    Own calls are counted exactly at any moment; only the calls of *others* come from a report,
    so only they lose weight as it ages.
    """

    __slots__ = (
        "_own",
        "_others",
        "_reported_at",
        "_least_offset",
        "_report",
        "_own_latency_ms",
        "_own_latency_at",
        "_latest_ms",
        "_answered_at",
        "_overdue",
    )

    def __init__(self):
        self._own = 0
        self._others = 0.0
        self._reported_at = None
        self._least_offset = None
        self._report = None
        self._own_latency_ms = None
        self._own_latency_at = None
        self._latest_ms = None
        self._answered_at = None
        self._overdue = 0

    @property
    def overdue(self):
        """Own calls that are out for unusually long while nothing speaks for the target."""
        return self._overdue

    @property
    def answered_at(self):
        """When the target last gave a good answer to this node, or None."""
        return self._answered_at

    @property
    def latest_ms(self):
        """How long that answer took."""
        return self._latest_ms

    @property
    def own_in_flight(self):
        """Calls that this entry node has at the target."""
        return self._own

    @property
    def others_in_flight(self):
        """Calls that other entry nodes had there when the report was made."""
        return self._others

    @property
    def report(self):
        """The newest report, or None."""
        return self._report

    def age(self, now):
        """Tell how old the newest report is.

        :param now: seconds on the monotonic clock.
        :return: seconds, or None without a report.
        """
        return None if self._reported_at is None else max(0.0, now - self._reported_at)

    def note_sent(self):
        """Count a call on its way to the target.

        :return: None.
        """
        self._own += 1

    def note_done(self):
        """Count a call as answered or given up.

        :return: None.
        """
        assert self._own > 0, "a call was counted as done twice"
        self._own -= 1

    def note_overdue(self, change):
        """Count a call that has become overdue, or has ended after it was.

        :param change: 1 or -1.
        :return: None.
        """
        self._overdue += change
        assert 0 <= self._overdue <= self._own + 1, "overdue calls do not add up"

    def note_report(self, report, now):
        """Take in a report, unless a newer one is known.

        A report held up on its way (a paused peer, a full buffer) arrives as if it were fresh.
        The smallest difference seen between both clocks stands for an undelayed report; what
        is above it is how late this one is, without the clocks agreeing.

        :param report: the :class:`LoadReport`.
        :param now: seconds on the monotonic clock.
        :return: whether it was the newest.
        """
        made_at = now
        if report.at_ms:
            offset = now - report.at_ms / 1000
            if self._least_offset is None or offset < self._least_offset:
                self._least_offset = offset
            made_at = report.at_ms / 1000 + self._least_offset
        # The same report again is not taken either: the own calls to subtract from it are those
        # of the time when it was made.
        if self._reported_at is not None and made_at <= self._reported_at:
            return False
        self._report = report
        self._reported_at = made_at
        self._others = float(max(0, report.in_flight + report.queued - self._own))
        return True

    def note_answer(self, milliseconds, now):
        """Take note of a good answer.

        :param milliseconds: from sending to the answer.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._answered_at = now
        self._latest_ms = milliseconds

    def note_latency(self, milliseconds, now):
        """Take in how long a call took, or has taken so far, as seen from here.

        Only calls that met no queue are given, so that this is the target's own speed.

        :param milliseconds: from sending to the answer.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        if self._own_latency_ms is None:
            self._own_latency_ms = milliseconds
        else:
            self._own_latency_ms += _SMOOTHING * (milliseconds - self._own_latency_ms)
        self._own_latency_at = now

    def note_slow(self, milliseconds, now):
        """Take in that a call took at least some time, while nothing spoke for the target.

        Without it a target that hangs is forgotten with each call that was answered elsewhere,
        and gets the next one as if nothing had been.

        :param milliseconds: from sending to giving up.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._own_latency_ms = max(self._own_latency_ms or 0.0, milliseconds)
        self._own_latency_at = now

    def own_latency(self, now):
        """Give the smoothed latency seen from here and its age.

        :param now: seconds on the monotonic clock.
        :return: the pair of milliseconds and seconds, or None.
        """
        if self._own_latency_ms is None:
            return None
        return self._own_latency_ms, now - self._own_latency_at
