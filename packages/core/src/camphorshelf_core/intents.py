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


class TargetUpdate(NamedTuple):
    """A target should take work or leave, and carry so much of its usual part."""

    service: Name
    target: Name
    state: Literal["take", "leave"] | None = None
    weight: Percent | None = None


class DomainUpdate(NamedTuple):
    """All targets of a service in a failure domain should leave, or take work again."""

    service: Name
    domain: Name
    state: Literal["take", "leave"]


class MethodUpdate(NamedTuple):
    """A method of a service is idempotent or not, and its calls are of a class."""

    service: Name
    method: Method
    idempotent: bool | None = None
    request_class: Literal["interactive", "deferrable"] | None = None


class ShareUpdate(NamedTuple):
    """A caller may hold so many of a hundred of a service's slots."""

    service: Name
    caller: Annotated[str, Field(min_length=1, max_length=63)]
    share: Percent


class OwnerUpdate(NamedTuple):
    """A service belongs to a team."""

    service: Name
    owner: Name


IntentUpdate = TargetUpdate | DomainUpdate | MethodUpdate | ShareUpdate | OwnerUpdate

_SHAPES = {
    "target": TypeAdapter(TargetUpdate),
    "domain": TypeAdapter(DomainUpdate),
    "method": TypeAdapter(MethodUpdate),
    "caller": TypeAdapter(ShareUpdate),
    "owner": TypeAdapter(OwnerUpdate),
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
    :param name: the target, failure domain, method or caller that it is about, or "".
    :return: the value, or None when nothing is said.
    """
    config = services.get(service)
    if config is None:
        return _DEFAULTS.get(field)
    if field == "owner":
        return config.owner
    if field in ("state", "weight"):
        return getattr(config.targets.get(name, TargetIntent()), field)
    return getattr(config, _TABLES[field]).get(name, _DEFAULTS.get(field))


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
    if change.field == "domain":
        domains = {**config.domains, change.name: change.after}
        if change.after == TAKE:
            del domains[change.name]
        return config._replace(domains=domains)
    table = _TABLES[change.field]
    return config._replace(**{table: {**getattr(config, table), change.name: change.after}})


_TABLES = {"idempotent": "idempotent", "class": "classes", "share": "shares", "domain": "domains"}
_DEFAULTS = {"state": TAKE, "weight": FULL_WEIGHT, "domain": TAKE}


def updates_from_changes(changes):
    """Turn changes back into wishes, to plan them again on a newer version.

    :param changes: those of a plan that lost its race.
    :return: a tuple of wishes.
    """
    return tuple(_MAKERS[change.field](change) for change in changes)


_MAKERS = {
    "owner": lambda one: OwnerUpdate(one.service, one.after),
    "share": lambda one: ShareUpdate(one.service, one.name, one.after),
    "idempotent": lambda one: MethodUpdate(one.service, one.name, idempotent=one.after),
    "class": lambda one: MethodUpdate(one.service, one.name, request_class=one.after),
    "domain": lambda one: DomainUpdate(one.service, one.name, one.after),
    "state": lambda one: TargetUpdate(one.service, one.name, state=one.after),
    "weight": lambda one: TargetUpdate(one.service, one.name, weight=one.after),
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
    if isinstance(wish, OwnerUpdate):
        return [("owner", "", wish.owner)]
    if isinstance(wish, ShareUpdate):
        return [("share", wish.caller, wish.share)]
    if isinstance(wish, DomainUpdate):
        return [("domain", wish.domain, wish.state)]
    if isinstance(wish, MethodUpdate):
        pairs = (("idempotent", wish.idempotent), ("class", wish.request_class))
        return [(field, wish.method, value) for field, value in pairs if value is not None]
    pairs = (("state", wish.state), ("weight", wish.weight))
    return [(field, wish.target, value) for field, value in pairs if value is not None]


def _bad(reason):
    return Failure(Refusal(Code.BAD_INTENT, reason))


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


def leaving_domains(services):
    """List the failure domains whose targets of a service should leave.

    :param services: the services of a version.
    :return: a set of pairs of service and failure domain.
    """
    return {
        (service, domain)
        for service, config in services.items()
        for domain, state in config.domains.items()
        if state == LEAVE
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
