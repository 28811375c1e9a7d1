"""The refusals of calls with a caller's idempotency key; each states whether the call ran."""

from .claimrecords import OwnerState
from .errors import Code, Ran, Refusal

_RETRY_AFTER_MS = 1_000


def refuse_unavailable(is_known_not_run):
    """Refuse a call whose claim could not be written.

    :param is_known_not_run: whether it is certain that no call with the key had run.
    :return: the :class:`Refusal`.
    """
    if is_known_not_run:
        ran, reason = Ran.NOT_RUN, "the key could not be claimed in the platform's table"
    else:
        # This request will never run, but an earlier one with the same key may have run, which
        # can't be checked without the table. NOT_RUN could therefore be wrong.
        ran = Ran.OUTCOME_UNKNOWN
        reason = "this request did not run; whether an earlier one with its key did is unknown"
    return Refusal(Code.CLAIM_UNAVAILABLE, reason, ran, _RETRY_AFTER_MS)


def refuse_key_reused():
    """Refuse a request whose key was used for a different request.

    :return: the :class:`Refusal`.
    """
    return Refusal(Code.KEY_REUSED, "the key was used for a different request")


def refuse_contended():
    """Refuse a request that repeatedly lost its claim to other requests with the same key.

    :return: the :class:`Refusal`.
    """
    reason = "other requests with the same key came in between"
    return Refusal(Code.CLAIM_CONTENDED, reason, Ran.OUTCOME_UNKNOWN, _RETRY_AFTER_MS)


def refuse_not_kept():
    """Refuse to run a call again that ran but whose answer is no longer kept.

    :return: the :class:`Refusal`.
    """
    return Refusal(Code.ANSWER_NOT_KEPT, "it ran; its answer is no longer kept", Ran.RAN)


def refuse_outcome_lost():
    """Refuse to run a call again that may have run.

    :return: the :class:`Refusal`.
    """
    reason = "what became of an earlier request with this key is unknown; it is not run again"
    return Refusal(Code.OUTCOME_LOST, reason, Ran.OUTCOME_UNKNOWN)


def refuse_invariant_broken():
    """Refuse to continue a call after an invariant of its claim was violated.

    :return: the :class:`Refusal`.
    """
    reason = "an invariant of the claim is broken; this node does not go on with it"
    return Refusal(Code.INVARIANT_BROKEN, reason, Ran.OUTCOME_UNKNOWN)


OWNER_REFUSALS = {
    OwnerState.RUNNING: Refusal(
        Code.STILL_RUNNING,
        "an earlier request with this key is still running",
        Ran.OUTCOME_UNKNOWN,
        _RETRY_AFTER_MS,
    ),
    OwnerState.FORGOTTEN: Refusal(
        Code.ANSWER_FORGOTTEN,
        "an earlier request with this key may have run; its answer is no longer kept",
        Ran.OUTCOME_UNKNOWN,
    ),
    OwnerState.GONE: Refusal(
        Code.OWNER_GONE,
        "the node that took an earlier request with this key is gone; it is not run again",
        Ran.OUTCOME_UNKNOWN,
    ),
    OwnerState.UNREACHABLE: Refusal(
        Code.OWNER_UNREACHABLE,
        "the node that took an earlier request with this key cannot be asked now",
        Ran.OUTCOME_UNKNOWN,
        _RETRY_AFTER_MS,
    ),
}
