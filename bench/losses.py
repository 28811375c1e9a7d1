"""Says where requests lose their worth, from the nodes' structured logs on standard input.

``losses.py [--seconds 5] < LOG`` prints two tables: per route, how many were answered in time, and
for those that were late whether they waited before the first offer, waited for a slot or ran long,
and for those that were refused or failed the code; then the same sums for each stretch of time.
Lines may have anything before their JSON. What the nodes left out of their logs is counted at the
end.
"""

import json
import sys
from collections import Counter, defaultdict
from typing import NamedTuple

import fire

_START = '{"time"'
# A part of the time that is longer than this share of the latency objective made the answer late.
_CAUSE_SHARE = 0.25


class Outcome(NamedTuple):
    """What became of one request.

    :param at: seconds since the first line.
    :param route: the route's name.
    :param cause: ``in time``, why it was late, or the code of its refusal or failure.
    """

    at: float
    route: str
    cause: str


def main(seconds=5):
    """Read logs and print the tables.

    :param seconds: the length of a stretch of time.
    :return: None.
    """
    outcomes, dropped = _read(sys.stdin)
    by_route, by_time = defaultdict(Counter), defaultdict(Counter)
    for one in outcomes:
        by_route[one.route][one.cause] += 1
        by_time[f"{int(one.at // seconds) * seconds} s"][one.cause] += 1
    _print_table("route", by_route)
    _print_table("from", by_time)
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
            # A line that the player has cut in two.
            continue
        started = event["time"] if started is None else started
        if event["event"] == "lines_dropped":
            dropped[event["host"]] = event["rate"] + event["unread"]
        elif event["event"] in ("answered", "refused") and event["route"]:
            outcomes.append(Outcome(event["time"] - started, event["route"], _find_cause(event)))
    return outcomes, sum(dropped.values())


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
