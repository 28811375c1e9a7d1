"""Plans: what would change, named by a digest, and made real by one compare-and-set."""

from typing import NamedTuple

import cbor2
from returns.result import Failure, Result, Success

from .config import (
    RECENT_VERSIONS,
    Change,
    ConfirmedVersion,
    Document,
    Head,
    sha256_hex,
    encode_document,
)
from .effects import describe_effect
from .errors import ProtocolError
from .intents import apply_changes, find_changes
from .teams import check_scope, find_confirmers


class Plan(NamedTuple):
    """Changes planned on one base version; nothing of it is in force before its confirm."""

    base: int
    base_digest: str
    changes: tuple[Change, ...]
    effect: tuple[str, ...]
    confirmers: tuple[str, ...]
    planned_by: str
    planned_at: int


def make_plan(head, document, wishes, operator, targets, planned_at) -> Result[Plan, object]:
    """Plan wishes on a version.

    :param head: the :class:`Head` of the base version.
    :param document: its :class:`Document`.
    :param wishes: what the operator wants.
    :param operator: who plans.
    :param targets: service -> target -> :class:`~camphorshelf_core.effects.TargetCapacity`, for the
        words about the effect.
    :param planned_at: seconds of the wall clock, for the history only.
    :return: ``Success`` of the :class:`Plan` or ``Failure`` of a refusal.
    """
    found = find_changes(document.services, wishes)
    if not isinstance(found, Success):
        return found
    changes = found.unwrap()
    refusal = check_scope(operator, document.services, changes)
    if refusal is not None:
        return Failure(refusal)
    effect = describe_effect(document.services, changes, targets)
    confirmers = find_confirmers(document.services, changes)
    return Success(
        Plan(head.version, head.digest, changes, effect, confirmers, operator.team, planned_at)
    )


def encode_plan(plan):
    """Turn a plan into bytes; their digest is the plan's name.

    :param plan: the :class:`Plan`.
    :return: canonical CBOR.
    """
    return cbor2.dumps(plan, canonical=True)


def decode_plan(data):
    """Read a plan.

    :param data: what :func:`encode_plan` gave.
    :return: the :class:`Plan`.
    :raises ProtocolError: when the bytes are no plan.
    """
    try:
        plan = Plan(*cbor2.loads(data))
        return plan._replace(
            changes=tuple(Change(*change) for change in plan.changes),
            effect=tuple(plan.effect),
            confirmers=tuple(plan.confirmers),
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ProtocolError(f"not a plan: {error}") from error


def make_next(base_head, base, plan, plan_digest):
    """Make the version that a plan leads to.

    The body holds no time of confirming and no name of a node: two nodes that confirm one plan
    make the same bytes, so that a repeated confirm cannot differ from the first.

    :param base_head: the :class:`Head` of the base version.
    :param base: its :class:`Document`.
    :param plan: the :class:`Plan`.
    :param plan_digest: its digest.
    :return: the pair of the new head and the new body's bytes.
    """
    recent = base.recent
    if base.version:
        recent = (ConfirmedVersion(base.version, base_head.plan, base_head.digest), *recent)
    document = Document(
        version=base.version + 1,
        plan=plan_digest,
        planned_by=plan.planned_by,
        planned_at=plan.planned_at,
        confirmed_by=plan.confirmers,
        changes=plan.changes,
        recent=recent[:RECENT_VERSIONS],
        services=apply_changes(base.services, plan.changes),
    )
    body = encode_document(document)
    return Head(document.version, sha256_hex(body), plan_digest), body
