"""Parses operators' intents and applies them to the configuration.

An intent is an object in the body of a plan request; it is parsed into one of the update types
below.
"""

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
    """Sets whether a target takes calls or leaves, and its weight in percent."""

    service: Name
    target: Name
    state: Literal["take", "leave"] | None = None
    weight: Percent | None = None


class DomainUpdate(NamedTuple):
    """Makes all targets of a service in a failure domain leave or take calls again."""

    service: Name
    domain: Name
    state: Literal["take", "leave"]


class MethodUpdate(NamedTuple):
    """Sets whether a method of a service is idempotent, and the class of its calls."""

    service: Name
    method: Method
    idempotent: bool | None = None
    request_class: Literal["interactive", "deferrable"] | None = None


class ShareUpdate(NamedTuple):
    """Sets the percentage of a service's slots that a caller may hold."""

    service: Name
    caller: Annotated[str, Field(min_length=1, max_length=63)]
    share: Percent


class OwnerUpdate(NamedTuple):
    """Sets the team that owns a service."""

    service: Name
    owner: Name


IntentUpdate = TargetUpdate | DomainUpdate | MethodUpdate | ShareUpdate | OwnerUpdate

_ADAPTERS = {
    "target": TypeAdapter(TargetUpdate),
    "domain": TypeAdapter(DomainUpdate),
    "method": TypeAdapter(MethodUpdate),
    "caller": TypeAdapter(ShareUpdate),
    "owner": TypeAdapter(OwnerUpdate),
}


def parse_intents(raw) -> Result[tuple, Refusal]:
    """Parse and validate the intents of a plan request.

    :param raw: the decoded JSON value; a valid one is a list of objects.
    :return: ``Success`` with a tuple of updates, or ``Failure`` with a refusal that names the first
        invalid field.
    """
    if not isinstance(raw, list) or not 0 < len(raw) <= MAX_INTENTS:
        return _refuse(f"intents: must be a list of 1 to {MAX_INTENTS} objects")
    updates = []
    for number, intent in enumerate(raw):
        result = _parse_intent(f"intents.{number}", intent)
        if not isinstance(result, Success):
            return result
        updates.append(result.unwrap())
    return Success(tuple(updates))


def find_changes(services, updates) -> Result[tuple, Refusal]:
    """Compute the changes that updates make to a configuration.

    :param services: the services of the base version.
    :param updates: the updates returned by :func:`parse_intents`.
    :return: ``Success`` with a tuple of :class:`Change`, or ``Failure`` with a refusal if nothing
        would change or two updates contradict each other.
    """
    changes = {}
    for update in updates:
        for field, name, after in _list_values(update):
            key = (update.service, field, name)
            if key in changes and changes[key] != after:
                return _refuse(
                    f"intents: conflicting values for {field} {name} of {update.service}"
                )
            changes[key] = after
    found = [
        Change(*key, before, after)
        for key, after in sorted(changes.items())
        if (before := read_value(services, *key)) != after
    ]
    if not found:
        reason = "the configuration in force already has all of these values"
        return Failure(Refusal(Code.NO_CHANGE, reason))
    return Success(tuple(found))


def read_value(services, service, field, name):
    """Read one value of a configuration.

    :param services: the services of a version.
    :param service: the service's name.
    :param field: the field of a :class:`Change`.
    :param name: the target, failure domain, method or caller that the value belongs to, or "".
    :return: the value or its default; None if it isn't configured and has no default.
    """
    config = services.get(service)
    if config is None:
        return _DEFAULTS.get(field)
    if field == "owner":
        return config.owner
    if field in ("state", "weight"):
        return getattr(config.targets.get(name, TargetIntent()), field)
    return getattr(config, _CONFIG_FIELDS[field]).get(name, _DEFAULTS.get(field))


def apply_changes(services, changes):
    """Apply changes to the services of a version.

    :param services: the services of the base version; not modified.
    :param changes: the plan's changes.
    :return: the new services.
    """
    services = dict(services)
    for change in changes:
        config = services.get(change.service, ServiceConfig(""))
        services[change.service] = _apply_change(config, change)
    return services


def _apply_change(config, change):
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
    config_field = _CONFIG_FIELDS[change.field]
    return config._replace(
        **{config_field: {**getattr(config, config_field), change.name: change.after}}
    )


_CONFIG_FIELDS = {
    "idempotent": "idempotent",
    "class": "classes",
    "share": "shares",
    "domain": "domains",
}
_DEFAULTS = {"state": TAKE, "weight": FULL_WEIGHT, "domain": TAKE}


def updates_from_changes(changes):
    """Turn changes back into updates, to plan them again on a newer version.

    :param changes: the changes of a plan whose base version was replaced before its confirm.
    :return: a tuple of updates.
    """
    return tuple(_UPDATE_FACTORIES[change.field](change) for change in changes)


_UPDATE_FACTORIES = {
    "owner": lambda change: OwnerUpdate(change.service, change.after),
    "share": lambda change: ShareUpdate(change.service, change.name, change.after),
    "idempotent": lambda change: MethodUpdate(change.service, change.name, idempotent=change.after),
    "class": lambda change: MethodUpdate(change.service, change.name, request_class=change.after),
    "domain": lambda change: DomainUpdate(change.service, change.name, change.after),
    "state": lambda change: TargetUpdate(change.service, change.name, state=change.after),
    "weight": lambda change: TargetUpdate(change.service, change.name, weight=change.after),
}


def _parse_intent(path, raw):
    if not isinstance(raw, dict):
        return _refuse(f"{path}: must be an object; saw {raw!r:.80}")
    kinds = [key for key in _ADAPTERS if key in raw]
    if len(kinds) != 1:
        return _refuse(f"{path}: must have exactly one of {', '.join(_ADAPTERS)}")
    unknown = sorted(set(raw) - set(_ADAPTERS[kinds[0]]._type._fields))
    if unknown:
        return _refuse(f"{path}.{unknown[0]}: unknown field")
    try:
        update = _ADAPTERS[kinds[0]].validate_python(raw)
    except ValidationError as error:
        problem = error.errors()[0]
        field = ".".join(str(part) for part in problem["loc"])
        return _refuse(f"{path}.{field}: {problem['msg']}; saw {problem['input']!r:.80}")
    if not _list_values(update):
        return _refuse(f"{path}: sets no value for its {kinds[0]}")
    return Success(update)


def _list_values(update):
    if isinstance(update, OwnerUpdate):
        return [("owner", "", update.owner)]
    if isinstance(update, ShareUpdate):
        return [("share", update.caller, update.share)]
    if isinstance(update, DomainUpdate):
        return [("domain", update.domain, update.state)]
    if isinstance(update, MethodUpdate):
        pairs = (("idempotent", update.idempotent), ("class", update.request_class))
        return [(field, update.method, value) for field, value in pairs if value is not None]
    pairs = (("state", update.state), ("weight", update.weight))
    return [(field, update.target, value) for field, value in pairs if value is not None]


def _refuse(reason):
    return Failure(Refusal(Code.BAD_INTENT, reason))


def leaving_targets(services):
    """Find the targets that should leave.

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
    """Find the failure domains in which a service's targets should leave.

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
    """Collect the weights of targets with an intent; a leaving target has the weight 0.

    :param services: the services of a version.
    :return: service -> target -> weight from 0 to 100.
    """
    return {
        service: {
            target: 0 if intent.state == LEAVE else intent.weight
            for target, intent in config.targets.items()
        }
        for service, config in services.items()
    }
