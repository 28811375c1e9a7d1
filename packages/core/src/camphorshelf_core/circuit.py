"""A circuit breaker: stops requests to a failing service and decides when to try it again.

Handles the load on a recovering platform that every node has been waiting for. Without it each call
would wait for a timeout and each node would go on sending, so the platform would come back under
the traffic of the whole system. One lost packet doesn't cause three failures in a row, and more
than three calls are made within a tenth of a second, so the circuit opens soon. The wait doubles up
to five seconds, which is short compared with an outage, and has jitter, so that the nodes don't
return all at once.
"""

FAILURES_TO_OPEN = 3
_FIRST_WAIT_SECONDS = 0.2
_MAX_WAIT_SECONDS = 5.0


class CircuitBreaker:
    """Counts successive failures, and allows single trial requests while it is open.

    :param random: the source of random numbers.
    """

    def __init__(self, random):
        self._random = random
        self._failures = 0
        self._openings = 0
        self._next_trial_at = None

    @property
    def is_open(self):
        """Whether requests are stopped, apart from trials."""
        return self._next_trial_at is not None

    def allows(self, now):
        """Return whether a request may be sent; while open, this allows one trial per wait.

        :param now: seconds on the monotonic clock.
        :return: True or False.
        """
        if self._next_trial_at is None:
            return True
        if now < self._next_trial_at:
            return False
        self._next_trial_at = now + self._draw_wait_s()
        return True

    def retry_after(self, now):
        """Return the time until the next trial.

        :param now: seconds on the monotonic clock.
        :return: seconds, 0.0 when the circuit breaker is closed.
        """
        return 0.0 if self._next_trial_at is None else max(0.0, self._next_trial_at - now)

    def record_success(self):
        """Record an answer and close the circuit breaker.

        :return: None.
        """
        self._failures = 0
        self._openings = 0
        self._next_trial_at = None

    def record_failure(self, now):
        """Record a failure, and open the circuit breaker if there were enough of them.

        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self._failures += 1
        if self._failures >= FAILURES_TO_OPEN:
            self._openings += 1
            self._next_trial_at = now + self._draw_wait_s()

    def _draw_wait_s(self):
        max_wait_s = min(_MAX_WAIT_SECONDS, _FIRST_WAIT_SECONDS * 2 ** min(self._openings, 10))
        return self._random.uniform(max_wait_s / 2, max_wait_s)
