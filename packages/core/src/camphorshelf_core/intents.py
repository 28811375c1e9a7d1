"""Operators' intents: how they are read, what they change and what that does."""

from typing import Annotated, Literal, NamedTuple

from pydantic import Field, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from .config import FULL_WEIGHT, LEAVE, TAKE, Change, ServiceConfig, TargetIntent
from .errors import Code, Refusal
from .settings import Name

MAX_INTENTS = 500
INTERACTIVE = "interactive"
DEFERRABLE = "deferrable"

Method = Annotated[str, Field(pattern=r"^[A-Z]{1,16}$")]
Percent = Annotated[int, Field(ge=0, le=100, strict=True)]


class TargetWish(NamedTuple):
    """A target should take work or leave, and carry so much of its usual part."""

    service: Name
    target: Name
    state: Literal["take", "leave"] | None = None
    weight: Percent | None = None


class MethodWish(NamedTuple):
    """A method of a service is idempotent or not, and its calls are of a class."""

    service: Name
    method: Method
    idempotent: bool | None = None
    request_class: Literal["interactive", "deferrable"] | None = None


class ShareWish(NamedTuple):
    """A caller may hold so many of a hundred of a service's slots."""

    service: Name
    caller: Annotated[str, Field(min_length=1, max_length=63)]
    share: Percent


class OwnerWish(NamedTuple):
    """A service belongs to a team."""

    service: Name
    owner: Name


Wish = TargetWish | MethodWish | ShareWish | OwnerWish

_SHAPES = {
    "target": TypeAdapter(TargetWish),
    "method": TypeAdapter(MethodWish),
    "caller": TypeAdapter(ShareWish),
    "owner": TypeAdapter(OwnerWish),
}


def parse_intents(raw) -> Result[tuple, Refusal]:
    """Check the intents of a plan request.

    :param raw: a list of objects, as JSON gave them.
    :return: ``Success`` of a tuple of wishes, or ``Failure`` that names the first bad field.
    """
    if not isinstance(raw, list) or not 0 < len(raw) <= MAX_INTENTS:
        return _bad(f"intents: must be a list of 1 to {MAX_INTENTS} objects")
    wishes = []
    for number, one in enumerate(raw):
        result = _parse_one(f"intents.{number}", one)
        if not isinstance(result, Success):
            return result
        wishes.append(result.unwrap())
    return Success(tuple(wishes))


def find_changes(services, wishes) -> Result[tuple, Refusal]:
    """Compare wishes with a configuration.

    :param services: the services of the base version.
    :param wishes: what :func:`parse_intents` gave.
    :return: ``Success`` of a tuple of :class:`Change`, or ``Failure`` when nothing would change
        or two wishes contradict each other.
    """
    changes = {}
    for wish in wishes:
        for field, name, after in _wanted(wish):
            subject = (wish.service, field, name)
            if subject in changes and changes[subject] != after:
                return _bad(f"intents: two values for {field} {name} of {wish.service}")
            changes[subject] = after
    found = [
        Change(*subject, before, after)
        for subject, after in sorted(changes.items())
        if (before := read_value(services, *subject)) != after
    ]
    if not found:
        reason = "the configuration in force already says all of this"
        return Failure(Refusal(Code.NO_CHANGE, reason))
    return Success(tuple(found))


def read_value(services, service, field, name):
    """Read one value of a configuration.

    :param services: the services of a version.
    :param service: the service's name.
    :param field: the field of a :class:`Change`.
    :param name: the target, method or caller that it is about, or "".
    :return: the value, or None when nothing is said.
    """
    config = services.get(service)
    if config is None:
        return _DEFAULTS.get(field)
    if field == "owner":
        return config.owner
    if field in ("state", "weight"):
        return getattr(config.targets.get(name, TargetIntent()), field)
    return getattr(config, _TABLES[field]).get(name)


def apply_changes(services, changes):
    """Make the services of the next version.

    :param services: those of the base version; left as they are.
    :param changes: the plan's changes.
    :return: the new services.
    """
    services = dict(services)
    for change in changes:
        config = services.get(change.service, ServiceConfig(""))
        services[change.service] = _apply_one(config, change)
    return services


def _apply_one(config, change):
    if change.field == "owner":
        return config._replace(owner=change.after)
    if change.field in ("state", "weight"):
        intent = config.targets.get(change.name, TargetIntent())
        intent = intent._replace(**{change.field: change.after})
        targets = {**config.targets, change.name: intent}
        if intent == TargetIntent():
            del targets[change.name]
        return config._replace(targets=targets)
    table = _TABLES[change.field]
    return config._replace(**{table: {**getattr(config, table), change.name: change.after}})


_TABLES = {"idempotent": "idempotent", "class": "classes", "share": "shares"}
_DEFAULTS = {"state": TAKE, "weight": FULL_WEIGHT}


def read_wishes(changes):
    """Turn changes back into wishes, to plan them again on a newer version.

    :param changes: those of a plan that lost its race.
    :return: a tuple of wishes.
    """
    return tuple(_MAKERS[change.field](change) for change in changes)


_MAKERS = {
    "owner": lambda one: OwnerWish(one.service, one.after),
    "share": lambda one: ShareWish(one.service, one.name, one.after),
    "idempotent": lambda one: MethodWish(one.service, one.name, idempotent=one.after),
    "class": lambda one: MethodWish(one.service, one.name, request_class=one.after),
    "state": lambda one: TargetWish(one.service, one.name, state=one.after),
    "weight": lambda one: TargetWish(one.service, one.name, weight=one.after),
}


def _parse_one(place, one):
    if not isinstance(one, dict):
        return _bad(f"{place}: must be an object; saw {one!r:.80}")
    kinds = [key for key in _SHAPES if key in one]
    if len(kinds) != 1:
        return _bad(f"{place}: must have exactly one of {', '.join(_SHAPES)}")
    unknown = sorted(set(one) - set(_SHAPES[kinds[0]]._type._fields))
    if unknown:
        return _bad(f"{place}.{unknown[0]}: unknown field")
    try:
        wish = _SHAPES[kinds[0]].validate_python(one)
    except ValidationError as error:
        problem = error.errors()[0]
        field = ".".join(str(part) for part in problem["loc"])
        return _bad(f"{place}.{field}: {problem['msg']}; saw {problem['input']!r:.80}")
    if not _wanted(wish):
        return _bad(f"{place}: says nothing about its {kinds[0]}")
    return Success(wish)


def _wanted(wish):
    if isinstance(wish, OwnerWish):
        return [("owner", "", wish.owner)]
    if isinstance(wish, ShareWish):
        return [("share", wish.caller, wish.share)]
    if isinstance(wish, MethodWish):
        pairs = (("idempotent", wish.idempotent), ("class", wish.request_class))
        return [(field, wish.method, value) for field, value in pairs if value is not None]
    pairs = (("state", wish.state), ("weight", wish.weight))
    return [(field, wish.target, value) for field, value in pairs if value is not None]


def _bad(reason):
    return Failure(Refusal(Code.BAD_INTENT, reason))


def describe_effect(services, changes, targets):
    """Say in words and numbers what a plan does.

    :param services: the services of the base version.
    :param changes: the plan's changes.
    :param targets: service -> target -> slots, as this node knows them now.
    :return: a tuple of sentences.
    """
    after = apply_changes(services, changes)
    lines = []
    for service in sorted({change.service for change in changes}):
        lines.extend(_describe_targets(service, services, after, targets.get(service, {})))
    lines.extend(_describe_other(change) for change in changes if change.field in _WORDS)
    return tuple(lines)


def carried_slots(services, service, targets):
    """Count what a service's targets carry under a configuration.

    :param services: the services of a version.
    :param service: the service's name.
    :param targets: target -> slots.
    :return: the pair of targets that take work and of their weighted slots.
    """
    config = services.get(service, ServiceConfig(""))
    intents = {name: config.targets.get(name, TargetIntent()) for name in targets}
    taking = [name for name, one in intents.items() if one.state == TAKE and one.weight]
    return len(taking), sum(targets[name] * intents[name].weight for name in taking) / FULL_WEIGHT


def _describe_targets(service, before, after, targets):
    count_before, slots_before = carried_slots(before, service, targets)
    count_after, slots_after = carried_slots(after, service, targets)
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


_WORDS = {
    "owner": "{service}: handed from {before} to {after}",
    "idempotent": "{service}: {name} counts as idempotent: {after}",
    "class": "{service}: {name} calls are {after}",
    "share": "{service}: {name} may hold {after} of 100 slots (before: {before})",
    "state": "{service}: {name} will {after} (before: {before})",
    "weight": "{service}: {name} carries weight {after} of 100 (before: {before})",
}


def _describe_other(change):
    words = change._asdict()
    words["before"] = "nobody" if change.field == "owner" and not change.before else change.before
    return _WORDS[change.field].format(**words)


def leaving_targets(services):
    """List the targets that should leave.

    :param services: the services of a version.
    :return: a set of pairs of service and target.
    """
    return {
        (service, target)
        for service, config in services.items()
        for target, intent in config.targets.items()
        if intent.state == LEAVE
    }


def routing_weights(services):
    """Give the weights that differ from the full one; a leaving target has none.

    :param services: the services of a version.
    :return: service -> target -> weight of 0 to 100.
    """
    return {
        service: {
            target: 0 if intent.state == LEAVE else intent.weight
            for target, intent in config.targets.items()
        }
        for service, config in services.items()
    }
