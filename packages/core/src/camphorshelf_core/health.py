"""Outlier detection: ejects failing targets of a service for a while and lets them return.

Handles a target that fails fast or is unreachable, while its load reports (or their absence) make
it look idle. Without ejection it would attract calls, and each of them would cost a retry.

Slow targets are not ejected: their score already sends them little work, and ejection by latency
would remove good targets whenever the mix of requests shifts.
"""

from .ramp import ramp_share

# With 1% failures, three in a row happen by chance once in 10^6 calls; a target that really fails
# reaches them soon.
_CONSECUTIVE_FAILURES = 3
_SMOOTHING = 0.15
_MIN_FAILURE_SHARE = 0.5
_MIN_ANSWERS = 8
# A target is only ejected if its failure share is this many times the median of the others: when
# these fail too, the requests or a shared dependency are the cause.
_OTHERS_FACTOR = 2.0
_FIRST_EJECTION_SECONDS = 1.0
_MAX_EJECTION_SECONDS = 30.0
# The half-life of the failure share, since old failures say little about the present.
_FAILURE_HALF_LIFE_SECONDS = 10.0
# After this long without an ejection, the next one has the shortest duration again.
_BACKOFF_RESET_SECONDS = 60.0
# How long the weight of a target rises after its ejection has ended.
RETURN_SECONDS = 5.0
_MAX_EJECTED_SHARE = 1 / 3


class _Record:
    __slots__ = (
        "answers",
        "failure_share",
        "consecutive_failures",
        "last_answer_at",
        "ejections",
        "ejected_until",
        "returned_at",
    )

    def __init__(self):
        self.answers = 0
        self.failure_share = 0.0
        self.consecutive_failures = 0
        self.last_answer_at = 0.0
        self.ejections = 0
        self.ejected_until = None
        self.returned_at = None


class OutlierDetector:
    """Ejects outliers among one service's targets, as one entry node sees them.

    The attribute ``ejections`` counts all ejections.

    :param random: the source of random numbers.
    """

    def __init__(self, random):
        self._random = random
        self._records = {}
        self.ejections = 0

    def record(self, target, failed, targets, now):
        """Record the outcome of a call, and eject the target if it is an outlier.

        :param target: the target's name.
        :param failed: whether the outcome counts as a failure of the target.
        :param targets: the names of all targets of the service.
        :param now: seconds on the monotonic clock.
        :return: whether this outcome ejected the target.
        """
        record = self._records.setdefault(target, _Record())
        self.check_ejected(target, now)
        record.answers += 1
        record.failure_share += _SMOOTHING * (failed - record.failure_share)
        record.consecutive_failures = record.consecutive_failures + 1 if failed else 0
        record.last_answer_at = now
        if (
            not failed
            or record.ejected_until is not None
            or not self._is_outlier(target, record, targets)
        ):
            return False
        if self._ejected_count(targets, now) + 1 > max_ejected(len(targets)):
            return False
        self._eject(record, now)
        return True

    def check_ejected(self, target, now):
        """Return whether a target is ejected, and end an ejection whose time is over.

        :param target: the target's name.
        :param now: seconds on the monotonic clock.
        :return: whether the target is ejected now.
        """
        record = self._records.get(target)
        if record is None or record.ejected_until is None:
            return False
        if now < record.ejected_until:
            return True
        record.ejected_until = None
        record.returned_at = now
        record.failure_share = 0.0
        record.answers = 0
        record.consecutive_failures = 0
        return False

    def failure_share(self, target, now):
        """Return the share of failures among a target's recent answers.

        :param target: the target's name.
        :param now: seconds on the monotonic clock.
        :return: a share between 0 and 1.
        """
        record = self._records.get(target)
        if record is None:
            return 0.0
        return record.failure_share * 0.5 ** (
            (now - record.last_answer_at) / _FAILURE_HALF_LIFE_SECONDS
        )

    def return_share(self, target, now):
        """Return the share of its weight that a target gets after its return.

        :param target: the target's name.
        :param now: seconds on the monotonic clock.
        :return: a share between the ramp's lowest share and 1.
        """
        record = self._records.get(target)
        if record is None:
            return 1.0
        return ramp_share(record.returned_at, now, RETURN_SECONDS)

    def forget(self, target):
        """Drop the record of a target that no longer exists.

        :param target: the target's name.
        :return: None.
        """
        self._records.pop(target, None)

    def _is_outlier(self, target, record, targets):
        has_just_returned = record.returned_at is not None and (
            record.last_answer_at - record.returned_at < RETURN_SECONDS
        )
        is_failing = record.answers >= _MIN_ANSWERS and record.failure_share >= _MIN_FAILURE_SHARE
        if not (
            is_failing
            or record.consecutive_failures >= (1 if has_just_returned else _CONSECUTIVE_FAILURES)
        ):
            return False
        others = sorted(
            self._records[other].failure_share
            for other in targets
            if other != target and other in self._records
        )
        if not others:
            return False
        return record.failure_share >= _OTHERS_FACTOR * others[len(others) // 2]

    def _ejected_count(self, targets, now):
        return sum(self.check_ejected(other, now) for other in targets)

    def _eject(self, record, now):
        is_backoff_reset = (
            record.returned_at is not None and now - record.returned_at > _BACKOFF_RESET_SECONDS
        )
        record.ejections = 1 if is_backoff_reset else record.ejections + 1
        seconds = min(_MAX_EJECTION_SECONDS, _FIRST_EJECTION_SECONDS * 2 ** (record.ejections - 1))
        # With jitter, or all entry nodes would send to the target again in the same moment.
        record.ejected_until = now + seconds * self._random.uniform(0.75, 1.25)
        self.ejections += 1


def max_ejected(count):
    """Return how many targets of a service may be ejected at once.

    The other targets have to carry the load: with a third ejected, each of them carries half as
    much again, which works for a service at 60% of its capacity. Of two or three targets one may be
    ejected, of a single target none.

    :param count: how many targets there are.
    :return: how many of them may be ejected.
    """
    if count < 2:
        return 0
    return max(1, int(count * _MAX_EJECTED_SHARE))
