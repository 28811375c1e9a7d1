"""Plans: proposed changes, identified by a digest and put in force by one compare-and-set."""

from typing import NamedTuple

import cbor2
from returns.result import Failure, Result, Success

from .config import (
    RECENT_VERSIONS,
    Change,
    ConfirmedVersion,
    Document,
    Head,
    encode_document,
    sha256_hex,
)
from .decoding import MALFORMED_ERRORS
from .effects import describe_effect
from .errors import ProtocolError
from .intents import apply_changes, find_changes
from .teams import check_scope, find_confirmers


class Plan(NamedTuple):
    """Proposed changes to a base version; they have no effect until the plan is confirmed."""

    base: int
    base_digest: str
    changes: tuple[Change, ...]
    effect: tuple[str, ...]
    confirmers: tuple[str, ...]
    planned_by: str
    planned_at: int


def make_plan(head, document, updates, operator, targets, planned_at) -> Result[Plan, object]:
    """Make a plan that applies updates to a version.

    :param head: the :class:`Head` of the base version.
    :param document: the :class:`Document` of the base version.
    :param updates: the updates that the operator requests.
    :param operator: the :class:`~camphorshelf_core.teams.Operator` who makes the plan.
    :param targets: service -> target -> :class:`~camphorshelf_core.effects.TargetCapacity`, used to
        describe the plan's effect.
    :param planned_at: seconds on the wall clock; used only in the history.
    :return: ``Success`` with the :class:`Plan`, or ``Failure`` with a refusal.
    """
    diff = find_changes(document.services, updates)
    if not isinstance(diff, Success):
        return diff
    changes = diff.unwrap()
    refusal = check_scope(operator, document.services, changes)
    if refusal is not None:
        return Failure(refusal)
    effect = describe_effect(document.services, changes, targets)
    confirmers = find_confirmers(document.services, changes)
    return Success(
        Plan(head.version, head.digest, changes, effect, confirmers, operator.team, planned_at)
    )


def encode_plan(plan):
    """Encode a plan; the digest of the bytes identifies the plan.

    :param plan: the :class:`Plan`.
    :return: canonical CBOR.
    """
    return cbor2.dumps(plan, canonical=True)


def decode_plan(data):
    """Decode a plan.

    :param data: the bytes returned by :func:`encode_plan`.
    :return: the :class:`Plan`.
    :raises ProtocolError: if the bytes aren't a valid plan.
    """
    try:
        plan = Plan(*cbor2.loads(data))
        return plan._replace(
            changes=tuple(Change(*change) for change in plan.changes),
            effect=tuple(plan.effect),
            confirmers=tuple(plan.confirmers),
        )
    except MALFORMED_ERRORS as error:
        raise ProtocolError(f"invalid plan: {error}") from error


def make_next_version(base_head, base, plan, plan_digest):
    """Make the version that results from a plan.

    The body contains neither the time of the confirm nor the name of a node, so two nodes that
    confirm the same plan produce the same bytes, and so does a repeated confirm.

    :param base_head: the :class:`Head` of the base version.
    :param base: the :class:`Document` of the base version.
    :param plan: the :class:`Plan`.
    :param plan_digest: the plan's digest.
    :return: a pair of the new head and the bytes of the new body.
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
