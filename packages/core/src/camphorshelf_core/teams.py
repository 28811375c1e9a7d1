"""Authorises administration: teams own services, and a handover needs both owners' consent."""

import hashlib
import hmac
from typing import NamedTuple

from .errors import Code, Refusal


class Operator(NamedTuple):
    """The team that a bearer token authenticates.

    :param team: the team's name.
    :param services: services that may be taken over with this token while they have no owner.
    """

    team: str
    services: tuple[str, ...] = ()


def find_operator(tokens, presented):
    """Find the operator that a presented token belongs to.

    Tokens are 32 random bytes, so one round of SHA-256 is enough: slow hashes protect secrets that
    can be guessed from a list. A slow hash on the node's only thread would let anyone block its
    calls by sending wrong tokens. All hashes are compared, each in constant time, so that the
    response time doesn't reveal which one nearly matched.

    :param tokens: the node's list of :class:`~camphorshelf_core.settings.TokenSettings`.
    :param presented: the presented token as text.
    :return: the :class:`Operator`, or None.
    """
    digest = hashlib.sha256(presented.encode()).hexdigest()
    found = None
    for token in tokens:
        if hmac.compare_digest(digest, token.sha256):
            found = Operator(token.team, tuple(token.services))
    return found


def find_confirmers(services, changes):
    """List the teams that have to confirm a plan.

    :param services: the services of the version that the plan is based on.
    :param changes: the plan's changes.
    :return: a sorted tuple of team names: the owners before and after the plan.
    """
    teams = set()
    for change in changes:
        config = services.get(change.service)
        if config is not None and config.owner:
            teams.add(config.owner)
        if change.field == "owner":
            teams.add(change.after)
    return tuple(sorted(teams))


def check_scope(operator, services, changes):
    """Check whether an operator may plan or confirm changes.

    :param operator: the :class:`Operator`.
    :param services: the services of the version that the plan is based on.
    :param changes: the plan's changes.
    :return: None when the operator may make all changes, else a :class:`Refusal`.
    """
    new_owners = {change.service: change.after for change in changes if change.field == "owner"}
    for change in changes:
        config = services.get(change.service)
        owner = config.owner if config is not None else ""
        new_owner = new_owners.get(change.service)
        reason = _explain_denial(operator, change.service, owner, new_owner)
        if reason is not None:
            return Refusal(Code.NOT_THE_OWNER, reason)
    return None


def _explain_denial(operator, service, owner, new_owner):
    if owner:
        if operator.team in (owner, new_owner):
            return None
        return f"{service} is owned by another team"
    if service not in operator.services:
        return f"{service} has no owner and is not among the services of this token"
    if new_owner != operator.team:
        return (
            f"{service} has no owner: set its owner to {operator.team} in this or an earlier plan"
        )
    return None
