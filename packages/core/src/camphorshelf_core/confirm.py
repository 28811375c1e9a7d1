"""Makes, stores and confirms plans and lists configuration versions, without I/O.

Each procedure is a generator: it yields an operation, is sent the operation's outcome and returns
the result. A node runs it on its event loop; the tests interleave the steps of several procedures,
with lost answers and writes that are applied late.

The head row is the only row that is replaced, by compare-and-set from one version to the next;
approvals are only inserted. The body is written before the head row, under its digest, so that the
head never names a body that doesn't exist.
"""

import re
from typing import NamedTuple

from returns.result import Success

from .config import (
    EMPTY_BODY,
    RECENT_VERSIONS,
    Head,
    decode_document,
    decode_head,
    encode_head,
    sha256_hex,
)
from .errors import Code, Refusal
from .plans import Plan, decode_plan, encode_plan, make_next_version, make_plan
from .teams import check_scope

CONFIG_PARTITION = "config"
HEAD_KEY = "head"
APPROVALS_PARTITION = "config-approvals"
# One attempt, and two more in case its answer is lost. Repeating it is safe: the write from version
# base to base + 1 with the same bytes takes effect at most once, however often it is sent.
_MAX_COMPARE_AND_SET_ATTEMPTS = 3
_MAX_LOOKUP_READS = 32
_DIGEST = re.compile(r"[0-9a-f]{64}")
MAX_HISTORY = RECENT_VERSIONS + 1


class Unknown(NamedTuple):
    """The outcome of an operation that may have taken effect or may still take effect later."""


UNKNOWN = Unknown()


class ReadRow(NamedTuple):
    """Read a row; the outcome is its bytes, None if it doesn't exist, or ``UNKNOWN``."""

    partition: str
    key: str


class CompareAndSetRow(NamedTuple):
    """Write a row if its version is ``expected``; None means that the row must not exist.

    The outcome is True, False or ``UNKNOWN``. The head row's version in the table is the version of
    the configuration, so the table itself checks that a plan is applied to its base version.
    """

    partition: str
    key: str
    data: bytes
    expected: int | None


class ReadObject(NamedTuple):
    """Read an object; the outcome is its bytes, None if it doesn't exist, or ``UNKNOWN``."""

    key: str


class WriteObject(NamedTuple):
    """Write an object under its digest; the outcome is True or ``UNKNOWN``."""

    key: str
    data: bytes


class StoredPlan(NamedTuple):
    """A stored plan and its digest."""

    plan: Plan
    digest: str


class ConfirmResult(NamedTuple):
    """The result of a successful confirm.

    ``version`` is the version that was made from the plan; ``head`` and ``body`` are those of the
    newest version.
    """

    version: int
    head: Head
    body: bytes


class _RefusedError(Exception):
    def __init__(self, code, reason, retry_after_ms=None):
        super().__init__(reason)
        self.refusal = Refusal(code, reason, retry_after_ms=retry_after_ms)


def body_key(digest):
    """Build the key of the object that holds a body.

    :param digest: the body's digest.
    :return: the object's key.
    """
    return f"config/{digest}"


def plan_key(digest):
    """Build the key of the object that holds a plan.

    :param digest: the plan's digest.
    :return: the object's key.
    """
    return f"plans/{digest}"


def plan_steps(updates, operator, targets, planned_at):
    """Make a plan on the newest version and store it.

    :param updates: the updates that the operator requests.
    :param operator: the :class:`~camphorshelf_core.teams.Operator`.
    :param targets: service -> target -> :class:`~camphorshelf_core.effects.TargetCapacity`.
    :param planned_at: seconds on the wall clock.
    :return: a generator that returns a :class:`StoredPlan` or a refusal.
    """
    try:
        head, document = yield from _read_newest()
        result = make_plan(head, document, updates, operator, targets, planned_at)
        if not isinstance(result, Success):
            return result.failure()
        data = encode_plan(result.unwrap())
        yield from _write_object(plan_key(sha256_hex(data)), data)
        return StoredPlan(result.unwrap(), sha256_hex(data))
    except _RefusedError as error:
        return error.refusal


def read_plan_steps(plan_digest):
    """Read a stored plan.

    :param plan_digest: the plan's digest.
    :return: a generator that returns a :class:`StoredPlan` or a refusal.
    """
    try:
        return StoredPlan((yield from _read_plan(plan_digest)), plan_digest)
    except _RefusedError as error:
        return error.refusal


def confirm_steps(plan_digest, operator):
    """Confirm a plan; may be repeated, also through another node.

    :param plan_digest: the plan's digest.
    :param operator: the :class:`~camphorshelf_core.teams.Operator` who confirms the plan.
    :return: a generator that returns a :class:`ConfirmResult` or a refusal.
    """
    try:
        plan = yield from _read_plan(plan_digest)
        head = yield from _read_head()
        if head.version > plan.base:
            return (yield from _find_outcome(head, plan, plan_digest))
        base = yield from _read_body(head.digest)
        if (head.version, head.digest) != (plan.base, plan.base_digest):
            raise _RefusedError(Code.CONFLICT, "the plan's base version was never confirmed")
        _check_operator(operator, base, plan)
        yield from _record_approval(plan, plan_digest, operator)
        new_head, body = make_next_version(head, base, plan, plan_digest)
        yield from _write_object(body_key(new_head.digest), body)
        return (yield from _compare_and_set_head(head, new_head, body, plan, plan_digest))
    except _RefusedError as error:
        return error.refusal


def history_steps(limit):
    """Read the newest versions, newest first.

    :param limit: the maximum number of versions.
    :return: a generator that returns a tuple of documents or a refusal.
    """
    try:
        _, document = yield from _read_newest()
        documents = [document] if document.version else []
        for entry in document.recent[: max(0, min(limit, MAX_HISTORY) - 1)]:
            document = yield from _read_body(entry.digest)
            documents.append(document)
        return tuple(documents)
    except _RefusedError as error:
        return error.refusal


def _read_newest():
    head = yield from _read_head()
    document = yield from _read_body(head.digest)
    return head, document


def _read_head():
    data = yield ReadRow(CONFIG_PARTITION, HEAD_KEY)
    if data is UNKNOWN:
        raise _platform_down()
    return decode_head(data)


def _read_body(digest):
    if digest == sha256_hex(EMPTY_BODY):
        return decode_document(EMPTY_BODY)
    data = yield from _read_object(body_key(digest), digest)
    if data is None:
        raise _RefusedError(
            Code.CORRUPT_CONFIGURATION, f"the body {digest} is missing in the store"
        )
    return decode_document(data)


def _read_plan(plan_digest):
    if not _DIGEST.fullmatch(plan_digest):
        raise _RefusedError(Code.UNKNOWN_PLAN, "the digest of a plan has 64 hexadecimal digits")
    data = yield from _read_object(plan_key(plan_digest), plan_digest)
    if data is None:
        raise _RefusedError(Code.UNKNOWN_PLAN, "there is no plan with this digest")
    return decode_plan(data)


def _read_object(key, digest):
    data = yield ReadObject(key)
    if data is UNKNOWN:
        raise _platform_down()
    if data is not None and sha256_hex(data) != digest:
        raise _RefusedError(
            Code.CORRUPT_CONFIGURATION, f"the content of object {key} does not match its digest"
        )
    return data


def _write_object(key, data):
    outcome = yield WriteObject(key, data)
    if outcome is not True:
        raise _platform_down()


def _check_operator(operator, base, plan):
    refusal = check_scope(operator, base.services, plan.changes)
    if refusal is None and operator.team not in plan.confirmers:
        refusal = Refusal(Code.NOT_THE_OWNER, "the plan changes only services of other teams")
    if refusal is not None:
        raise _RefusedError(refusal.code, refusal.reason)


def _record_approval(plan, plan_digest, operator):
    """Store the approval of the operator's team and check those of the other teams, if any."""
    others = [team for team in plan.confirmers if team != operator.team]
    if not others:
        return
    key = f"{plan_digest}/{operator.team}"
    if (yield CompareAndSetRow(APPROVALS_PARTITION, key, b"1", None)) is UNKNOWN:
        raise _platform_down()
    for team in others:
        approval = yield ReadRow(APPROVALS_PARTITION, f"{plan_digest}/{team}")
        if approval is UNKNOWN:
            raise _platform_down()
        if approval is None:
            raise _RefusedError(Code.AWAITING_OWNER, f"{team} must also confirm this plan")


def _compare_and_set_head(head, new_head, body, plan, plan_digest):
    expected = head.version or None
    for _ in range(_MAX_COMPARE_AND_SET_ATTEMPTS):
        outcome = yield CompareAndSetRow(
            CONFIG_PARTITION, HEAD_KEY, encode_head(new_head), expected
        )
        if outcome is True:
            return ConfirmResult(new_head.version, new_head, body)
        data = yield ReadRow(CONFIG_PARTITION, HEAD_KEY)
        if data is UNKNOWN:
            continue
        # The head is read back because the answer to an earlier write may have been lost. Otherwise
        # the repeated confirm would look like a conflict, and the operator would plan the same
        # changes again although they are already in force.
        current = decode_head(data)
        if current.version > plan.base:
            return (yield from _find_outcome(current, plan, plan_digest))
    reason = "the platform did not answer whether the plan is in force; confirm it again"
    raise _RefusedError(Code.CONFIRM_UNKNOWN, reason, retry_after_ms=1000)


def _find_outcome(head, plan, plan_digest):
    """Check whether the version after the plan's base version was made from this plan."""
    data = yield from _read_object(body_key(head.digest), head.digest)
    if data is None:
        raise _RefusedError(
            Code.CORRUPT_CONFIGURATION, f"the body {head.digest} is missing in the store"
        )
    entry, document = head, decode_document(data)
    for _ in range(_MAX_LOOKUP_READS):
        if entry.version <= plan.base + 1:
            break
        by_version = {listed.version: listed for listed in document.recent}
        entry = by_version.get(plan.base + 1, document.recent[-1])
        if entry.version > plan.base + 1:
            document = yield from _read_body(entry.digest)
    if entry.version == plan.base + 1 and entry.plan == plan_digest:
        return ConfirmResult(entry.version, head, data)
    reason = (
        f"version {head.version} is in force; the plan was made on version {plan.base}: plan again"
    )
    raise _RefusedError(Code.CONFLICT, reason)


def _platform_down():
    reason = "the platform does not answer; this step changed nothing"
    return _RefusedError(Code.PLATFORM_DOWN, reason, retry_after_ms=1000)
