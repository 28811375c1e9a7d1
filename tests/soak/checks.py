"""The guarantees that the fault soak checks, from what callers and targets have seen."""

from itertools import islice
from typing import NamedTuple

from soak.keys import find_key_violations
from standins.advertised import find_rate_excess, find_requests_after_leaving, read_history

_UNSENT_MARGIN = 0.05
_SHOWN = 3


class Finding(NamedTuple):
    """A violated guarantee."""

    guarantee: str
    detail: object


class Observations(NamedTuple):
    """What a run has seen.

    :param deployment: the :class:`~standins.relays.RelayDeployment`.
    :param outcomes: all :class:`~soak.callers.Outcome`.
    :param leaves: for each announced leave, the host, when it was acknowledged and when it ended.
    :param versions: for each probe of a version, the host, the process id, the version and the
        status.
    :param interruptions: when each host was restarted or suspended, by host.
    :param keys: the :class:`~soak.keys.KeyHistory`.
    :param store_outages: from when to when the store answered no node, or answered late.
    """

    deployment: object
    outcomes: list
    leaves: list
    versions: list
    interruptions: dict
    keys: object
    store_outages: list


def find_violations(seen):
    """Check all guarantees.

    :param seen: the :class:`Observations`.
    :return: a list of :class:`Finding`.
    """
    return [
        *_check_orders(seen),
        *_check_answers(seen),
        *_check_leaves(seen),
        *_check_versions(seen),
        *_check_advertised(seen),
        *[Finding(*one) for one in islice(find_key_violations(seen), _SHOWN)],
    ]


def _check_orders(seen):
    runs = seen.deployment.all_runs()
    for one in seen.outcomes:
        if one.kind == "order" and runs[one.request_id] > 1:
            yield Finding("an order runs at most once", one)
        if one.status in (408, 421, 429, 503) and one.kind == "order" and runs[one.request_id]:
            yield Finding("an order that is reported as not run has not run", one)


def _check_answers(seen):
    for one in seen.outcomes:
        if one.status == 200 and one.path.encode() not in one.body:
            yield Finding("each caller gets its own complete response", one)


def _check_leaves(seen):
    for name, acknowledged, until in seen.leaves:
        if acknowledged is None:
            continue
        late = [
            at
            for at in seen.deployment.run_times(name)
            if acknowledged + _UNSENT_MARGIN < at < until
        ]
        if late:
            yield Finding(
                "a leaving target gets no new requests", (name, acknowledged, late[:_SHOWN])
            )


def _check_versions(seen):
    newest = {}
    for name, pid, version, status in seen.versions:
        known = newest.get((name, pid), 0)
        if status == 200 and version < known:
            yield Finding("the version of a node never decreases", (name, pid, version, known))
        if status == 200:
            newest[name, pid] = max(known, version)


def _check_advertised(seen):
    sent = [one.sent for one in seen.outcomes]
    history = read_history(seen.deployment.directory, sent, seen.interruptions)
    excess = find_rate_excess(history)
    if excess:
        yield Finding("a target gets no more requests than it advertises", excess[:_SHOWN])
    late = find_requests_after_leaving(history)
    if late:
        yield Finding(
            "a target that says that it leaves gets no new requests", (len(late), late[:_SHOWN])
        )
