"""Describes the effect of a plan in sentences that operators read before they confirm it."""

from typing import NamedTuple

from .config import FULL_WEIGHT, TAKE, ServiceConfig, TargetIntent
from .intents import apply_changes


class TargetCapacity(NamedTuple):
    """The capacity and location of a target, used to compute a plan's effect.

    :param slots: the number of calls that the target runs concurrently.
    :param domain: the target's failure domain.
    """

    slots: int
    domain: str


def describe_effect(services, changes, targets):
    """Describe the effect of a plan.

    :param services: the services of the base version.
    :param changes: the plan's changes.
    :param targets: service -> target -> :class:`TargetCapacity`, as currently known to this node.
    :return: a tuple of sentences.
    """
    after = apply_changes(services, changes)
    lines = []
    for service in sorted({change.service for change in changes}):
        lines.extend(_describe_targets(service, services, after, targets.get(service, {})))
    lines.extend(_describe_change(change) for change in changes if change.field in _TEMPLATES)
    return tuple(lines)


def serving_capacity(services, service, targets):
    """Compute the capacity that a service has under a configuration.

    :param services: the services of a version.
    :param service: the service's name.
    :param targets: target -> :class:`TargetCapacity`.
    :return: a pair of the number of targets that take calls and the sum of their weighted slots.
    """
    config = services.get(service, ServiceConfig(""))
    intents = {name: config.targets.get(name, TargetIntent()) for name in targets}
    serving = [
        name
        for name, intent in intents.items()
        if intent.state == TAKE and intent.weight and targets[name].domain not in config.domains
    ]
    slots = sum(targets[name].slots * intents[name].weight for name in serving)
    return len(serving), slots / FULL_WEIGHT


def _describe_targets(service, before, after, targets):
    count_before, slots_before = serving_capacity(before, service, targets)
    count_after, slots_after = serving_capacity(after, service, targets)
    if (count_before, slots_before) == (count_after, slots_after):
        return
    yield (
        f"{service}: {count_before} of {len(targets)} targets take work now "
        f"({slots_before:g} weighted slots), {count_after} will ({slots_after:g})"
    )
    if not count_after:
        yield f"{service}: WARNING: no target takes work; every call will be refused"
    elif slots_after < slots_before:
        more = 100 * (slots_before / slots_after - 1)
        yield f"{service}: the targets that stay carry {more:.0f}% more each"


_TEMPLATES = {
    "owner": "{service}: handed from {before} to {after}",
    "idempotent": "{service}: {name} counts as idempotent: {after}",
    "class": "{service}: {name} calls are {after}",
    "share": "{service}: {name} may hold {after} of 100 slots (before: {before})",
    "state": "{service}: {name} will {after} (before: {before})",
    "domain": "{service}: its targets in failure domain {name} will {after} (before: {before})",
    "weight": "{service}: {name} carries weight {after} of 100 (before: {before})",
}


def _describe_change(change):
    values = change._asdict()
    values["before"] = "nobody" if change.field == "owner" and not change.before else change.before
    return _TEMPLATES[change.field].format(**values)
