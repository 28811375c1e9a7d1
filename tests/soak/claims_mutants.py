"""Claim books with one safeguard taken out; random runs must catch each of them."""

from camphorshelf_core.claimrecords import OwnerReply, OwnerState, RecordState, unpack_record
from camphorshelf_core.claims import ClaimTracker
from camphorshelf_core.table import WriteOutcome


class DropVoid(ClaimTracker):
    """Lets a claim go on when nobody waits any more, and says that it has ended."""

    def is_open(self, key):
        return super().is_open(key) and bool(self._claims[key].waiters)

    def remove_waiter(self, key, token):
        claim = self._claims.get(key)
        if claim is not None:
            claim.waiters = [waiter for waiter in claim.waiters if waiter.token != token]
        return []


class DispatchOnUnknown(ClaimTracker):
    """Takes a write whose answer was lost for one that took effect."""

    def on_written(self, key, attempt, written):
        if written.outcome is WriteOutcome.UNKNOWN:
            written = written._replace(outcome=WriteOutcome.APPLIED)
        return super().on_written(key, attempt, written)


class TakeOverOpen(ClaimTracker):
    """Takes over the claim of an owner that is gone."""

    def _apply_owner_reply(self, claim, reply):
        if reply.state is OwnerState.GONE:
            reply = OwnerReply(OwnerState.VOIDED)
        return super()._apply_owner_reply(claim, reply)


class TakeOverRunning(ClaimTracker):
    """Tells a peer that a running call is void."""

    def query_attempt(self, key, attempt, token, now):
        if key in self._claims:
            return OwnerReply(OwnerState.VOIDED)
        return super().query_attempt(key, attempt, token, now)


class ForgottenIsVoid(ClaimTracker):
    """Takes an attempt that it has forgotten for one that never ran."""

    def _registry_reply(self, attempt):
        return OwnerReply(OwnerState.VOIDED)


class SayNotRunUnproven(ClaimTracker):
    """Says NOT_RUN for a key when the table cannot tell of earlier requests."""

    def _settle_waiter(self, claim, waiter, refusal):
        claim.is_known_not_run = True
        return super()._settle_waiter(claim, waiter, refusal)


class KeepProof(ClaimTracker):
    """Says NOT_RUN to a waiter by what was learnt before it came."""

    def submit(self, key, digest, waiter, now):
        claim = self._claims.get(key)
        proven = claim is not None and claim.is_known_not_run
        actions = super().submit(key, digest, waiter, now)
        if proven:
            claim.is_known_not_run = True
        return actions


class IgnoreDigest(ClaimTracker):
    """Gives the answer to another request under the same key."""

    def _handle_existing_row(self, claim, row):
        claim.digest = unpack_record(row.data).digest
        return super()._handle_existing_row(claim, row)


class UnknownIsVoid(ClaimTracker):
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
