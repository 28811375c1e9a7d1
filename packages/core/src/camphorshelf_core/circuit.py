"""Decides when a failing service is left alone and when it is tried again.

Answers the load that a recovering platform gets when every node has been waiting for it: without
it each call waits out a timeout and each node goes on sending, so the platform comes back under
the traffic of the whole system. Three failures in a row are more than one lost packet and less
than the calls of a tenth of a second; the wait doubles up to five seconds, which is short beside
an outage, and is drawn at random below that, so that nodes do not come back together.
"""

FAILURES_TO_OPEN = 3
_FIRST_WAIT_SECONDS = 0.2
_MAX_WAIT_SECONDS = 5.0


class Circuit:
    """Counts failures in a row and lets single trials through while it is open."""

    def __init__(self, random):
        self._random = random
        self._failures = 0
        self._opened = 0
        self._trial_at = None

    @property
    def is_open(self):
        """Whether the service is being left alone."""
        return self._trial_at is not None

    def allows(self, now):
        """Tell whether a request may go out; when open, this is the one trial.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        if self._trial_at is None:
            return True
        if now < self._trial_at:
            return False
        self._trial_at = now + self._wait()
        return True

    def retry_after(self, now):
        """Tell how long to wait before the next trial.

        :param now: seconds on the monotonic clock.
        :return: seconds, 0 when the circuit is closed.
        """
        return 0.0 if self._trial_at is None else max(0.0, self._trial_at - now)

    def note_success(self):
        """Take note of an answer.

        :return: None.
        """
        self._failures = 0
        self._opened = 0
        self._trial_at = None

    def note_failure(self, now):
        """Take note of a failure.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._failures += 1
        if self._failures >= FAILURES_TO_OPEN:
            self._opened += 1
            self._trial_at = now + self._wait()

    def _wait(self):
        longest = min(_MAX_WAIT_SECONDS, _FIRST_WAIT_SECONDS * 2 ** min(self._opened, 10))
        return self._random.uniform(longest / 2, longest)
