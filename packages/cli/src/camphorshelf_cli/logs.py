"""Collects the lines about one request from saved logs of several hosts."""

import json
from glob import glob
from typing import NamedTuple

# The order in which the steps of a request are logged. Lines of different hosts can't be ordered by
# their times, since the hosts' clocks differ by more than a step takes.
_STAGES = {
    "turned_away": 1,
    "run_failed": 1,
    "run_cancelled": 1,
    "run_ended": 1,
    "declined": 2,
    "repeat": 2,
    "hedge": 2,
}
_ENTRY_STAGE, _LAST_STAGE = 2, 3
_OMITTED_FIELDS = frozenset({"time", "host", "event", "request"})


class Hop(NamedTuple):
    """A log line about a request.

    :param host: the host that wrote the line.
    :param event: the name of the event.
    :param fields: the other fields of the line.
    :param time: Unix time in seconds by that host's clock.
    """

    host: str
    event: str
    fields: dict
    time: float


def find_hops(request, pattern):
    """Collect the lines of a request, in the order of the events.

    Lines of the entry node keep their order. Lines of a target's node are placed before the entry
    node's line about their result, regardless of the clocks.

    :param request: the caller's id of the request.
    :param pattern: the path of a log file, or a pattern of paths.
    :return: a list of :class:`Hop`.
    """
    hops = [hop for path in sorted(glob(pattern)) for hop in _read_hops(path, request)]
    entry_hosts = {hop.host for hop in hops if _stage(hop) >= _ENTRY_STAGE}
    entry_hops = [hop for hop in hops if _stage(hop) >= _ENTRY_STAGE]
    target_hops = [hop for hop in hops if _stage(hop) < _ENTRY_STAGE]
    ordered = []
    for hop in sorted(entry_hops, key=lambda one: (_stage(one) == _LAST_STAGE, one.time)):
        results = [one for one in target_hops if _precedes(one, hop, entry_hosts)]
        for result in results:
            target_hops.remove(result)
        ordered += [*results, hop]
    return [*ordered, *target_hops]


def render_hops(hops):
    """Render hops as text.

    :param hops: a list of :class:`Hop`.
    :return: the lines as one text.
    """
    lines = []
    for number, hop in enumerate(hops, 1):
        text = " ".join(f"{name}={value}" for name, value in hop.fields.items())
        lines.append(f"{number:2}  {hop.host:20} {hop.event:12} {text}")
    return "\n".join(lines)


def _precedes(result, hop, entry_hosts):
    # The results with a line's code are placed before that line of the entry node; all results that
    # remain are placed before its last line.
    if _stage(hop) == _LAST_STAGE:
        return True
    code = hop.fields.get("code")
    return code is not None and result.fields.get("code") == code and result.event != "run_ended"


def _stage(hop):
    return _STAGES.get(hop.event, _LAST_STAGE)


def _read_hops(path, request):
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            if request not in line:
                continue
            fields = _read_line(line)
            if fields is not None and fields.get("request") == request:
                shown = {key: value for key, value in fields.items() if key not in _OMITTED_FIELDS}
                yield Hop(fields["host"], fields["event"], shown, fields["time"])


def _read_line(line):
    # Log collectors may put a prefix before the JSON document.
    try:
        return json.loads(line[line.index("{") :])
    except ValueError:
        return None
