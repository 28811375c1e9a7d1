"""Who may change what: teams own services, and a handover needs both owners."""

import hashlib
import hmac
from typing import NamedTuple

from .errors import Code, Refusal


class Operator(NamedTuple):
    """Who a bearer token stands for; ``services`` may be taken while nobody owns them."""

    team: str
    services: tuple[str, ...] = ()


def find_operator(tokens, presented):
    """Tell whose token was presented.

    Tokens are 32 random bytes, so one round of SHA-256 is enough: there is no short list of
    guesses that a slow hash would have to make expensive, and a slow hash on the node's only
    thread would let anyone stop its calls by asking with wrong tokens. Every hash is compared,
    in constant time, so that the answer's time does not tell which one nearly matched.

    :param tokens: the :class:`~camphorshelf_core.settings.TokenSettings` of the node.
    :param presented: the token as text.
    :return: the :class:`Operator`, or None.
    """
    digest = hashlib.sha256(presented.encode()).hexdigest()
    found = None
    for token in tokens:
        if hmac.compare_digest(digest, token.sha256):
            found = Operator(token.team, tuple(token.services))
    return found


def find_confirmers(services, changes):
    """Tell whose confirm a plan needs.

    :param services: the services of the base version.
    :param changes: the plan's changes.
    :return: a sorted tuple of teams: every owner before and after.
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
    """Tell why an operator may not plan or confirm changes.

    :param operator: the :class:`Operator`.
    :param services: the services of the base version.
    :param changes: the plan's changes.
    :return: a :class:`Refusal`, or None when all is in the team's scope.
    """
    new_owners = {change.service: change.after for change in changes if change.field == "owner"}
    for change in changes:
        config = services.get(change.service)
        owner = config.owner if config is not None else ""
        new_owner = new_owners.get(change.service)
        reason = _find_fault(operator, change.service, owner, new_owner)
        if reason is not None:
            return Refusal(Code.NOT_THE_OWNER, reason)
    return None


def _find_fault(operator, service, owner, new_owner):
    if owner:
        if operator.team in (owner, new_owner):
            return None
        return f"{service} belongs to another team"
    if service not in operator.services:
        return f"{service} has no owner and is not among the services of this token"
    if new_owner != operator.team:
        return f"{service} has no owner yet: plan its owner ({operator.team}) first or together"
    return None
