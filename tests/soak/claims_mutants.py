"""Claim books with one safeguard taken out; random runs must catch each of them."""

from camphorshelf_core.claimrecords import OwnerReply, OwnerState, RecordState, unpack_record
from camphorshelf_core.claims import ClaimBook
from camphorshelf_core.table import WriteOutcome


class DropVoid(ClaimBook):
    """Lets a claim go on whose caller was told NOT_RUN."""

    def leave(self, key, token):
        claim = self._claims.get(key)
        if claim is not None and len(claim.waiters) == 1:
            return []
        return super().leave(key, token)


class DispatchOnUnknown(ClaimBook):
    """Takes a write whose answer was lost for one that took effect."""

    def on_written(self, key, attempt, written):
        if written.outcome is WriteOutcome.UNKNOWN:
            written = written._replace(outcome=WriteOutcome.APPLIED)
        return super().on_written(key, attempt, written)


class TakeOverOpen(ClaimBook):
    """Takes over the claim of an owner that is gone."""

    def _heed(self, claim, reply):
        if reply.state is OwnerState.GONE:
            reply = OwnerReply(OwnerState.VOIDED)
        return super()._heed(claim, reply)


class TakeOverRunning(ClaimBook):
    """Tells a peer that a running call is void."""

    def ask(self, key, attempt, token, now):
        if key in self._claims:
            return OwnerReply(OwnerState.VOIDED)
        return super().ask(key, attempt, token, now)


class ForgottenIsVoid(ClaimBook):
    """Takes an attempt that it has forgotten for one that never ran."""

    def _own_word(self, attempt):
        return OwnerReply(OwnerState.VOIDED)


class SayNotRunUnproven(ClaimBook):
    """Says NOT_RUN for a key when the table cannot tell of earlier requests."""

    def _refuse_one(self, claim, waiter, refusal):
        claim.is_proven = True
        return super()._refuse_one(claim, waiter, refusal)


class KeepProof(ClaimBook):
    """Says NOT_RUN to a waiter by what was learnt before it came."""

    def submit(self, key, digest, waiter, now):
        claim = self._claims.get(key)
        proven = claim is not None and claim.is_proven
        actions = super().submit(key, digest, waiter, now)
        if proven:
            claim.is_proven = True
        return actions


class IgnoreDigest(ClaimBook):
    """Gives the answer to another request under the same key."""

    def _meet(self, claim, row):
        claim.digest = unpack_record(row.data).digest
        return super()._meet(claim, row)


class UnknownIsVoid(ClaimBook):
    """Marks a call whose outcome is unknown as void in the table."""

    def on_result(self, key, attempt, result, now):
        *actions, mark = super().on_result(key, attempt, result, now) or [None]
        if mark is not None and mark.record.state is RecordState.UNKNOWN:
            mark = mark._replace(record=mark.record._replace(state=RecordState.VOIDED))
        return actions + ([mark] if mark is not None else [])


MUTANTS = (
    DropVoid,
    DispatchOnUnknown,
    TakeOverOpen,
    TakeOverRunning,
    ForgottenIsVoid,
    SayNotRunUnproven,
    KeepProof,
    IgnoreDigest,
    UnknownIsVoid,
)
