"""Checks what targets got after they had advertised a rate limit or that they leave.

A host is told when it has passed on a response that advertises it. The rules apply to the requests
that callers sent to that host, until it is restarted or suspended.
"""

from typing import NamedTuple

from standins.processes import read_lines

# What a :class:`Sent` keeps of a response's headers.
ADVERTISED_HEADERS = ("instance", "server-limit", "server-leaving")
RATE_WINDOW_SECONDS = 4.0
DRAIN_SECONDS = 2.0
_RATE_FACTOR = 1.5
_RATE_SLACK = 5
# The rate is judged from this long after a target first advertised a limit.
_FIRST_JUDGED_SECONDS = 3.0
# A request counts if its host was told at least this long before.
TOLD_SECONDS = 0.5


class Arrival(NamedTuple):
    """A request that reached a target, whether or not the target ran it."""

    request_id: str
    at: float
    instance: str


class Statement(NamedTuple):
    """What a target advertises from now on: a rate limit or None, and whether it leaves."""

    per_s: float | None
    is_leaving: bool
    at: float
    instance: str


class Sent(NamedTuple):
    """A caller's request, and the response that the caller got from its host, if any.

    ``advertised`` holds the response's headers by name in lower case.
    """

    request_id: str
    host: str
    sent_at: float
    answered_at: float
    advertised: dict


class History(NamedTuple):
    """Everything that the rules depend on.

    :param arrivals: all :class:`Arrival`.
    :param statements: all :class:`Statement`.
    :param sent: all :class:`Sent`.
    :param interruptions: the times at which each host was restarted or suspended, by host.
    """

    arrivals: list
    statements: list
    sent: list
    interruptions: dict

    def told(self, name):
        """Return when hosts passed on a header, by host and the target's process."""
        times = {}
        for one in sorted(self.sent, key=lambda sent: sent.answered_at):
            if name not in one.advertised:
                continue
            known = times.setdefault((one.host, one.advertised.get("instance")), [])
            # A later response tells a host nothing new unless it was interrupted since.
            if not known or self._is_interrupted(one.host, known[-1], one.answered_at):
                known.append(one.answered_at)
        return times

    def was_told(self, times, host, instance, since, until):
        """Return whether a host was told before ``since`` and not interrupted up to ``until``."""
        return any(
            at <= since and not self._is_interrupted(host, at, until)
            for at in times.get((host, instance), ())
        )

    def _is_interrupted(self, host, since, until):
        return any(since <= at <= until for at in self.interruptions.get(host, ()))


def read_history(directory, sent, interruptions):
    """Read the journals of the targets.

    :param directory: the directory of the journals.
    :param sent: all :class:`Sent`.
    :param interruptions: see :class:`History`.
    :return: the :class:`History`.
    """
    arrivals = [
        Arrival(request_id, float(at), instance)
        for request_id, _, at, instance in _read(directory / "arrivals.log")
    ]
    statements = [
        Statement(None if per_s == "-" else float(per_s), leaving == "1", float(at), instance)
        for per_s, leaving, _, at, instance in _read(directory / "statements.log")
    ]
    return History(arrivals, statements, sent, interruptions)


def find_rate_excess(history):
    """Find the windows in which a target got more requests than its rate limit allows.

    :param history: the :class:`History`.
    :return: for each of them, the process, the window's end, the count and what is allowed.
    """
    times = history.told("server-limit")
    hosts = {one.request_id: one.host for one in history.sent}
    excess = []
    for instance in {one.instance for one in history.statements if one.per_s is not None}:
        statements = [one for one in history.statements if one.instance == instance]
        counted = sorted(
            one.at
            for one in history.arrivals
            if one.instance == instance
            and history.was_told(
                times, hosts.get(one.request_id), instance, one.at - TOLD_SECONDS, one.at
            )
        )
        excess += find_full_windows(instance, statements, counted)
    return excess


def find_requests_after_leaving(history):
    """Find the requests that reached a target later than it allows after it said that it leaves.

    :param history: the :class:`History`.
    :return: their :class:`Arrival`.
    """
    times = history.told("server-leaving")
    sent = {one.request_id: one for one in history.sent}
    return [
        one
        for one in history.arrivals
        if one.request_id in sent
        and history.was_told(
            times,
            sent[one.request_id].host,
            one.instance,
            sent[one.request_id].sent_at - DRAIN_SECONDS,
            one.at,
        )
    ]


def find_full_windows(instance, statements, counted):
    """Find the windows in which one process got more requests than it accepts.

    :param instance: the id of the process.
    :param statements: its :class:`Statement`, in order.
    :param counted: the times of the requests that count, in order.
    :return: an iterator over the process, the window's end, the count and what is allowed.
    """
    judged_from = next(one.at for one in statements if one.per_s is not None)
    judged_from += _FIRST_JUDGED_SECONDS
    for index, end in enumerate(counted):
        if end < judged_from:
            continue
        accepted = _sum_accepted(statements, end - RATE_WINDOW_SECONDS, end)
        if accepted is None:
            continue
        allowed = accepted * _RATE_FACTOR + _RATE_SLACK
        count = sum(end - RATE_WINDOW_SECONDS < one <= end for one in counted[: index + 1])
        if count > allowed:
            yield instance, end, count, allowed


def _sum_accepted(statements, start, end):
    # How many requests the target accepts in a window; None if it has no limit for a part of it.
    # In the time before the first statement it accepts as many as right after it.
    ends = [*(one.at for one in statements[1:]), end]
    accepted = 0.0
    since = start
    for statement, until in zip(statements, ends, strict=True):
        seconds = min(until, end) - since
        if seconds <= 0:
            continue
        if statement.per_s is None:
            return None
        accepted += statement.per_s * seconds
        since = min(until, end)
    return accepted


def _read(path):
    return [line.split() for line in read_lines(path)]
