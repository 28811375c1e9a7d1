"""What saved logs of several hosts say of one request."""

import json
from glob import glob
from typing import NamedTuple

# The order in which the hops of a request log; clocks of hosts differ by more than a hop takes.
_STAGES = {
    "turned_away": 1,
    "run_failed": 1,
    "run_cancelled": 1,
    "run_ended": 1,
    "declined": 2,
    "repeat": 2,
    "hedge": 2,
}
_AT_ENTRY, _LAST = 2, 3
_SHOWN_APART = frozenset({"time", "host", "event", "request"})


class Hop(NamedTuple):
    """One line about a request.

    :param host: the host that wrote it.
    :param event: what happened.
    :param fields: the inputs and the outcome.
    :param time: Unix seconds of that host's clock.
    """

    host: str
    event: str
    fields: dict
    time: float


def find_hops(request, pattern):
    """Collect the lines of one request, in the order in which they happened.

    Lines of the entry node keep their order. Those of a target's node stand before the entry
    node's line that takes up their result, whatever the clocks say.

    :param request: the caller's id of the request.
    :param pattern: a file's path, or a pattern for several.
    :return: a list of :class:`Hop`.
    """
    hops = [hop for path in sorted(glob(pattern)) for hop in _read_hops(path, request)]
    entry = {hop.host for hop in hops if _stage(hop) >= _AT_ENTRY}
    own = [hop for hop in hops if _stage(hop) >= _AT_ENTRY]
    others = [hop for hop in hops if _stage(hop) < _AT_ENTRY]
    ordered = []
    for hop in sorted(own, key=lambda one: (_stage(one) == _LAST, one.time)):
        results = [one for one in others if _belongs(one, hop, entry)]
        for result in results:
            others.remove(result)
        ordered += [*results, hop]
    return [*ordered, *others]


def render_hops(hops):
    """Lay hops out for people.

    :param hops: a list of :class:`Hop`.
    :return: the lines as one text.
    """
    lines = []
    for number, hop in enumerate(hops, 1):
        words = " ".join(f"{name}={value}" for name, value in hop.fields.items())
        lines.append(f"{number:2}  {hop.host:20} {hop.event:12} {words}")
    return "\n".join(lines)


def _belongs(result, hop, entry):
    # A decline answers the earliest result left; the last line takes all that are left.
    if _stage(hop) == _LAST:
        return True
    code = hop.fields.get("code")
    return code is not None and result.fields.get("code") == code and result.event != "run_ended"


def _stage(hop):
    return _STAGES.get(hop.event, _LAST)


def _read_hops(path, request):
    with open(path, encoding="utf-8", errors="replace") as file:
        for line in file:
            if request not in line:
                continue
            fields = _read_line(line)
            if fields is not None and fields.get("request") == request:
                rest = {key: value for key, value in fields.items() if key not in _SHOWN_APART}
                yield Hop(fields["host"], fields["event"], rest, fields["time"])


def _read_line(line):
    # Collectors put a prefix before the line.
    try:
        return json.loads(line[line.index("{") :])
    except ValueError:
        return None
