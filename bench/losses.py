"""Reports why requests were late, refused or failed, from the nodes' logs on standard input.

``losses.py [--seconds 5] < LOG`` prints tables: the requests of each route that were answered in
time, those that were late by cause (a wait before the first offer, a wait for a slot, a long
run), and those that were refused or failed by code; then the same sums by interval and, where lines
name organisations, by organisation. Lines may have
a prefix before their JSON. The number of dropped log lines is printed at the end.
"""

import json
import sys
from collections import Counter, defaultdict
from typing import NamedTuple

import fire

_START = '{"time"'
# A phase that took more than this share of the latency objective counts as the cause of lateness.
_CAUSE_SHARE = 0.25
# The organisations with most requests have a row each, all others one together.
_MAX_ORGANISATIONS = 30
_OTHERS = "(others)"
_NO_ORGANISATION = "(none)"


class Outcome(NamedTuple):
    """The outcome of one request.

    :param at: seconds since the first line.
    :param route: the route's name.
    :param cause: ``in time``, why it was late, or the code of its refusal or failure.
    :param organisation: the organisation's name; None if the line has none.
    """

    at: float
    route: str
    cause: str
    organisation: str | None


def main(seconds=5):
    """Read logs and print the tables.

    :param seconds: the length of an interval, in seconds.
    :return: None.
    """
    outcomes, dropped = _read(sys.stdin)
    by_route, by_time = defaultdict(Counter), defaultdict(Counter)
    for one in outcomes:
        by_route[one.route][one.cause] += 1
        by_time[f"{int(one.at // seconds) * seconds} s"][one.cause] += 1
    _print_table("route", by_route)
    _print_table("from", by_time)
    by_organisation = _count_by_organisation(outcomes)
    if by_organisation:
        _print_table("organisation", by_organisation)
    print(f"\nLines left out by the nodes: {dropped}")


def _read(lines):
    outcomes, dropped, started = [], {}, None
    for line in lines:
        found = line.find(_START)
        if found < 0:
            continue
        try:
            event = json.loads(line[found:])
        except ValueError:
            # The line is incomplete.
            continue
        started = event["time"] if started is None else started
        if event["event"] == "lines_dropped":
            dropped[event["host"]] = event["rate"] + event["unread"]
        elif event["event"] in ("answered", "refused") and event["route"]:
            at, cause = event["time"] - started, _find_cause(event)
            outcomes.append(Outcome(at, event["route"], cause, event.get("organisation")))
    return outcomes, sum(dropped.values())


def _count_by_organisation(outcomes):
    requests = Counter(one.organisation for one in outcomes if one.organisation is not None)
    if not requests:
        return {}
    named = [name for name, _ in requests.most_common(_MAX_ORGANISATIONS)]
    rows = {name: Counter() for name in (*named, _OTHERS, _NO_ORGANISATION)}
    for one in outcomes:
        name = _NO_ORGANISATION if one.organisation is None else one.organisation
        rows[name if name in rows else _OTHERS][one.cause] += 1
    return {name: counts for name, counts in rows.items() if counts}


def _find_cause(event):
    if event["event"] == "refused":
        return event["code"]
    if event["status"] >= 300:
        return f"target {event['status']}"
    objective_ms = event["objective_ms"]
    if event["ms"] <= objective_ms:
        return "in time"
    enough = objective_ms * _CAUSE_SHARE
    before_ms = event["ms"] - event["waited_ms"] - event["ran_ms"]
    if before_ms > enough:
        return "late: before the target"
    return "late: waited for a slot" if event["waited_ms"] > enough else "late: ran long"


def _print_table(title, rows):
    causes = sorted({cause for counts in rows.values() for cause in counts})
    print(f"\n| {title} | requests | " + " | ".join(causes) + " |")
    print("| --- |" + " ---: |" * (len(causes) + 1))
    for name, counts in rows.items():
        cells = " | ".join(str(counts[cause]) for cause in causes)
        print(f"| {name} | {counts.total()} | {cells} |")


if __name__ == "__main__":
    fire.Fire(main)
