"""Plan and confirm as steps against the platform, without I/O.

Each procedure is a generator: it yields one operation, is sent that operation's outcome and
returns the end. A node runs it on its loop; the tests run it step by step between others, with
answers lost and writes applied late.

The head row is the only thing that is ever compared and set, from one version to the next. The
body is written first, under its digest, so that a head never names a body that is not there.
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
    sha256_hex,
    encode_head,
)
from .errors import Code, Refusal
from .plans import Plan, decode_plan, encode_plan, make_next, make_plan
from .teams import check_scope

CONFIG_PARTITION = "config"
HEAD_KEY = "head"
APPROVALS_PARTITION = "config-approvals"
# One swap, and two more when its answer was lost: the swap from base to base + 1 with the same
# bytes takes effect once however often it is sent, so sending again is the read-back's twin.
_SWAP_TRIES = 3
_MAX_LOOKUP_READS = 32
_DIGEST = re.compile(r"[0-9a-f]{64}")
MAX_HISTORY = RECENT_VERSIONS + 1


class Unknown(NamedTuple):
    """An operation whose outcome is not known: it may have taken effect, now or later."""


UNKNOWN = Unknown()


class ReadRow(NamedTuple):
    """Read a row; the outcome is its bytes, None when absent, or ``UNKNOWN``."""

    partition: str
    key: str


class CompareAndSetRow(NamedTuple):
    """Write a row if its version is ``expected`` (None: if absent); True, False or ``UNKNOWN``.

    The row's version in the table is the configuration's own number, so the condition that the
    table checks is the one that operators rely on.
    """

    partition: str
    key: str
    data: bytes
    expected: int | None


class ReadObject(NamedTuple):
    """Read an object; the outcome is its bytes, None when absent, or ``UNKNOWN``."""

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
    """The end of a confirm that won: its version, and the newest head with its body."""

    version: int
    head: Head
    body: bytes


class _RefusedError(Exception):
    def __init__(self, code, reason, retry_after_ms=None):
        super().__init__(reason)
        self.refusal = Refusal(code, reason, retry_after_ms=retry_after_ms)


def body_key(digest):
    """Name the object that holds a body.

    :param digest: the body's digest.
    :return: the object's key.
    """
    return f"config/{digest}"


def plan_key(digest):
    """Name the object that holds a plan.

    :param digest: the plan's digest.
    :return: the object's key.
    """
    return f"plans/{digest}"


def plan_steps(wishes, operator, targets, planned_at):
    """Plan on the newest version and store the plan.

    :param wishes: what the operator wants.
    :param operator: the :class:`~camphorshelf_core.teams.Operator`.
    :param targets: service -> target -> slots.
    :param planned_at: seconds of the wall clock.
    :return: a generator that ends with :class:`StoredPlan` or a refusal.
    """
    try:
        head, document = yield from _read_newest()
        result = make_plan(head, document, wishes, operator, targets, planned_at)
        if not isinstance(result, Success):
            return result.failure()
        data = encode_plan(result.unwrap())
        yield from _write(plan_key(sha256_hex(data)), data)
        return StoredPlan(result.unwrap(), sha256_hex(data))
    except _RefusedError as refused:
        return refused.refusal


def read_plan_steps(plan_digest):
    """Read a stored plan.

    :param plan_digest: the plan's digest.
    :return: a generator that ends with :class:`StoredPlan` or a refusal.
    """
    try:
        return StoredPlan((yield from _read_plan(plan_digest)), plan_digest)
    except _RefusedError as refused:
        return refused.refusal


def confirm_steps(plan_digest, operator):
    """Confirm a plan; may be repeated, also through another node.

    :param plan_digest: the plan's digest.
    :param operator: who confirms.
    :return: a generator that ends with :class:`ConfirmResult` or a refusal.
    """
    try:
        plan = yield from _read_plan(plan_digest)
        head = yield from _read_head()
        if head.version > plan.base:
            return (yield from _find_outcome(head, plan, plan_digest))
        base = yield from _read_body(head.digest)
        if (head.version, head.digest) != (plan.base, plan.base_digest):
            raise _RefusedError(Code.CONFLICT, "the plan was made on a version that never was")
        _check_operator(operator, base, plan)
        yield from _approve(plan, plan_digest, operator)
        new_head, body = make_next(head, base, plan, plan_digest)
        yield from _write(body_key(new_head.digest), body)
        return (yield from _compare_and_set_head(head, new_head, body, plan, plan_digest))
    except _RefusedError as refused:
        return refused.refusal


def history_steps(limit):
    """Collect the newest versions, newest first.

    :param limit: how many.
    :return: a generator that ends with a tuple of documents or a refusal.
    """
    try:
        _, document = yield from _read_newest()
        found = [document] if document.version else []
        for entry in document.recent[: max(0, min(limit, MAX_HISTORY) - 1)]:
            document = yield from _read_body(entry.digest)
            found.append(document)
        return tuple(found)
    except _RefusedError as refused:
        return refused.refusal


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
        raise _RefusedError(Code.CORRUPT_CONFIGURATION, f"the body {digest} is not in the store")
    return decode_document(data)


def _read_plan(plan_digest):
    if not _DIGEST.fullmatch(plan_digest):
        raise _RefusedError(Code.UNKNOWN_PLAN, "a plan is named by 64 hexadecimal digits")
    data = yield from _read_object(plan_key(plan_digest), plan_digest)
    if data is None:
        raise _RefusedError(Code.UNKNOWN_PLAN, "there is no plan of this digest")
    return decode_plan(data)


def _read_object(key, digest):
    data = yield ReadObject(key)
    if data is UNKNOWN:
        raise _platform_down()
    if data is not None and sha256_hex(data) != digest:
        raise _RefusedError(Code.CORRUPT_CONFIGURATION, f"the object {key} is not what it was")
    return data


def _write(key, data):
    outcome = yield WriteObject(key, data)
    if outcome is not True:
        raise _platform_down()


def _check_operator(operator, base, plan):
    refusal = check_scope(operator, base.services, plan.changes)
    if refusal is None and operator.team not in plan.confirmers:
        refusal = Refusal(Code.NOT_THE_OWNER, "the plan is about another team's services")
    if refusal is not None:
        raise _RefusedError(refusal.code, refusal.reason)


def _approve(plan, plan_digest, operator):
    """Note this team's confirm where another's is needed as well."""
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
            raise _RefusedError(Code.AWAITING_OWNER, f"{team} has to confirm this plan as well")


def _compare_and_set_head(head, new_head, body, plan, plan_digest):
    expected = head.version or None
    for _ in range(_SWAP_TRIES):
        outcome = yield CompareAndSetRow(CONFIG_PARTITION, HEAD_KEY, encode_head(new_head), expected)
        if outcome is True:
            return ConfirmResult(new_head.version, new_head, body)
        data = yield ReadRow(CONFIG_PARTITION, HEAD_KEY)
        if data is UNKNOWN:
            continue
        # The read-back: without it a confirm whose answer was lost looks like a lost race when
        # it is sent again, and the operator plans a second time what is already in force.
        seen = decode_head(data)
        if seen.version > plan.base:
            return (yield from _find_outcome(seen, plan, plan_digest))
    reason = "the platform did not say whether the plan is in force; confirm it again"
    raise _RefusedError(Code.CONFIRM_UNKNOWN, reason, retry_after_ms=1000)


def _find_outcome(head, plan, plan_digest):
    """Tell whether the version after the plan's base is this plan's own."""
    data = yield from _read_object(body_key(head.digest), head.digest)
    if data is None:
        raise _RefusedError(Code.CORRUPT_CONFIGURATION, f"body {head.digest} is not in the store")
    entry, document = head, decode_document(data)
    for _ in range(_MAX_LOOKUP_READS):
        if entry.version <= plan.base + 1:
            break
        known = {one.version: one for one in document.recent}
        entry = known.get(plan.base + 1, document.recent[-1])
        if entry.version > plan.base + 1:
            document = yield from _read_body(entry.digest)
    if entry.version == plan.base + 1 and entry.plan == plan_digest:
        return ConfirmResult(entry.version, head, data)
    reason = f"version {head.version} is in force; the plan was made on {plan.base}: plan again"
    raise _RefusedError(Code.CONFLICT, reason)


def _platform_down():
    reason = "the platform does not answer; nothing was changed by this step"
    return _RefusedError(Code.PLATFORM_DOWN, reason, retry_after_ms=1000)
