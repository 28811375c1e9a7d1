"""Decides which targets of a service are taken out for failing, and when they return.

Load pattern: a target that fails fast or has become unreachable, while load reports (or their
lack) make it look idle. Without it, it attracts calls and each of them costs a retry.

Slow targets are not ejected: their score already leaves them little work, and ejecting on latency
would take out good targets whenever the mix of work shifts.
"""

from .ramp import ramp_share

# Three in a row come by chance once in 10^6 calls at 1% failures, and are soon together when a
# target really fails.
_CONSECUTIVE = 3
_SMOOTHING = 0.15
_FAILING_SHARE = 0.5
_LEAST_ANSWERS = 8
# When the others fail too, the cause is the work or what lies below, not this target.
_OTHERS_FACTOR = 2.0
_FIRST_SECONDS = 1.0
_LONGEST_SECONDS = 30.0
# A failure share from before this many seconds says little of today.
_FORGET_SECONDS = 10.0
# After this long without an ejection a target starts again with the shortest one.
_CLEAN_SECONDS = 60.0
RETURN_SECONDS = 5.0
_MOST_EJECTED = 1 / 3


class _Record:
    __slots__ = ("answers", "failing", "in_a_row", "noted_at", "ejections", "until", "returned_at")

    def __init__(self):
        self.answers = 0
        self.failing = 0.0
        self.in_a_row = 0
        self.noted_at = 0.0
        self.ejections = 0
        self.until = None
        self.returned_at = None


class Health:
    """The health of one service's targets as one entry node sees it."""

    def __init__(self, random):
        self._random = random
        self._records = {}
        self.ejections = 0

    def note(self, target, failed, targets, now):
        """Take in the outcome of a call.

        :param target: the target's name.
        :param failed: whether the outcome speaks against the target.
        :param targets: the names of all targets of the service.
        :param now: seconds on the monotonic clock.
        :return: whether the target was ejected by this.
        """
        record = self._records.setdefault(target, _Record())
        self.update(target, now)
        record.answers += 1
        record.failing += _SMOOTHING * (failed - record.failing)
        record.in_a_row = record.in_a_row + 1 if failed else 0
        record.noted_at = now
        if not failed or record.until is not None or not self._is_outlier(target, record, targets):
            return False
        if self._ejected_count(targets, now) + 1 > most_ejected(len(targets)):
            return False
        self._eject(record, now)
        return True

    def update(self, target, now):
        """Let a target return when its time is over.

        :param target: the target's name.
        :param now: seconds on the monotonic clock.
        :return: whether it is ejected now.
        """
        record = self._records.get(target)
        if record is None or record.until is None:
            return False
        if now < record.until:
            return True
        record.until = None
        record.returned_at = now
        record.failing = 0.0
        record.answers = 0
        record.in_a_row = 0
        return False

    def failure_share(self, target, now):
        """Give the share of a target's recent answers that were failures.

        :param target: the target's name.
        :param now: seconds on the monotonic clock.
        :return: between 0 and 1.
        """
        record = self._records.get(target)
        if record is None:
            return 0.0
        return record.failing * 0.5 ** ((now - record.noted_at) / _FORGET_SECONDS)

    def return_share(self, target, now):
        """Give the share of its weight that a returned target carries.

        :param target: the target's name.
        :param now: seconds on the monotonic clock.
        :return: between the ramp's least share and 1.
        """
        record = self._records.get(target)
        if record is None:
            return 1.0
        return ramp_share(record.returned_at, now, RETURN_SECONDS)

    def forget(self, target):
        """Drop what is known of a target that is gone.

        :param target: the target's name.
        :return: None.
        """
        self._records.pop(target, None)

    def _is_outlier(self, target, record, targets):
        returning = record.returned_at is not None and (
            record.noted_at - record.returned_at < RETURN_SECONDS
        )
        failing = record.answers >= _LEAST_ANSWERS and record.failing >= _FAILING_SHARE
        if not (failing or record.in_a_row >= (1 if returning else _CONSECUTIVE)):
            return False
        others = sorted(
            self._records[one].failing for one in targets if one != target and one in self._records
        )
        if not others:
            return False
        return record.failing >= _OTHERS_FACTOR * others[len(others) // 2]

    def _ejected_count(self, targets, now):
        return sum(self.update(one, now) for one in targets)

    def _eject(self, record, now):
        clean = record.returned_at is not None and now - record.returned_at > _CLEAN_SECONDS
        record.ejections = 1 if clean else record.ejections + 1
        seconds = min(_LONGEST_SECONDS, _FIRST_SECONDS * 2 ** (record.ejections - 1))
        # Spread, or all entry nodes would let it return and hit it in the same moment.
        record.until = now + seconds * self._random.uniform(0.75, 1.25)
        self.ejections += 1


def most_ejected(count):
    """Tell how many targets of a service may be out at once.

    The rest has to carry the load: with a third out the others carry half as much again, which
    a service run at 60% survives. Of two or three targets one may be out, of one none.

    :param count: how many targets there are.
    :return: how many may be ejected.
    """
    if count < 2:
        return 0
    return max(1, int(count * _MOST_EJECTED))
