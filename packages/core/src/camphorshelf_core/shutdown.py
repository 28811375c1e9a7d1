"""Plans a graceful stop: until when requests are taken, and which of them may still start.

The platform kills a process at the end of its grace period, so the process exits before that and
cuts off whatever still runs then. How long a request takes depends on its target, on the links that
carry its response, and on its caller. None of that is known when it starts. Only its deadline is,
so a stopping node starts a request only if the deadline comes before the exit.
"""

from typing import NamedTuple

# Callers notice that a stopping node is not ready by two failed readiness checks, one second apart.
# Until then they still send requests.
_CALLER_DRAIN_SECONDS = 2.6
# The target outlives its node, so it still gets work for this long after SIGTERM. A rolling restart
# then costs a service only the time of the start, not that of the stop.
_TARGET_DRAIN_SECONDS = 2.0
# The node exits this long before it would be killed, so that the last responses are sent.
_EXIT_MARGIN_SECONDS = 0.4
# If requests at the target do not end, callers' connections are closed this long before the exit.
# That leaves time for responses in progress.
_CALLER_CLOSE_MARGIN_SECONDS = 1.0
# The largest shares of the grace period that the times above may take.
_MAX_CALLER_DRAIN_SHARE = 0.45
_MAX_TARGET_DRAIN_SHARE = 1 / 3
_MAX_EXIT_MARGIN_SHARE = 1 / 12
_MAX_CALLER_CLOSE_MARGIN_SHARE = 1 / 6


class ShutdownPlan(NamedTuple):
    """The times of one graceful stop, in seconds on the monotonic clock.

    :param target_closes_at: when the local target gets no new requests any more.
    :param callers_drained_at: when callers know that the node is leaving.
    :param callers_close_at: when callers' connections are closed at the latest.
    :param exit_at: when the process exits at the latest.
    """

    target_closes_at: float
    callers_drained_at: float
    callers_close_at: float
    exit_at: float

    def can_start(self, expires_at):
        """Tell whether a request may be sent to a target.

        :param expires_at: when the request ends at the latest, in seconds on the monotonic clock.
        :return: True or False.
        """
        return expires_at <= self.exit_at


def plan_shutdown(now, grace_s):
    """Plan a stop that begins now.

    :param now: seconds on the monotonic clock.
    :param grace_s: the time until the process is killed, in seconds.
    :return: the :class:`ShutdownPlan`.
    """
    exit_at = now + grace_s - min(_EXIT_MARGIN_SECONDS, grace_s * _MAX_EXIT_MARGIN_SHARE)
    close_margin_s = min(_CALLER_CLOSE_MARGIN_SECONDS, grace_s * _MAX_CALLER_CLOSE_MARGIN_SHARE)
    return ShutdownPlan(
        target_closes_at=now + min(_TARGET_DRAIN_SECONDS, grace_s * _MAX_TARGET_DRAIN_SHARE),
        callers_drained_at=now + min(_CALLER_DRAIN_SECONDS, grace_s * _MAX_CALLER_DRAIN_SHARE),
        callers_close_at=exit_at - close_margin_s,
        exit_at=exit_at,
    )
