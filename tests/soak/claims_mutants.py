"""Claim trackers with one safeguard removed; the random runs must detect each of them."""

from camphorshelf_core.claimrecords import OwnerReply, OwnerState, RecordState, unpack_record
from camphorshelf_core.claims import ClaimTracker
from camphorshelf_core.table import WriteOutcome


class DropVoid(ClaimTracker):
    """Continues a claim that has no waiters left, but reports it as closed."""

    def is_open(self, key):
        return super().is_open(key) and bool(self._claims[key].waiters)

    def remove_waiter(self, key, token):
        claim = self._claims.get(key)
        if claim is not None:
            claim.waiters = [waiter for waiter in claim.waiters if waiter.token != token]
        return []


class DispatchOnUnknown(ClaimTracker):
    """Treats a write whose response was lost as applied."""

    def on_written(self, key, attempt, written):
        if written.outcome is WriteOutcome.UNKNOWN:
            written = written._replace(outcome=WriteOutcome.APPLIED)
        return super().on_written(key, attempt, written)


class TakeOverOpen(ClaimTracker):
    """Takes over the open claim of an owner process that no longer exists."""

    def _apply_owner_reply(self, claim, reply):
        if reply.state is OwnerState.GONE:
            reply = OwnerReply(OwnerState.VOIDED)
        return super()._apply_owner_reply(claim, reply)


class TakeOverRunning(ClaimTracker):
    """Reports a running call to other nodes as voided."""

    def query_attempt(self, key, attempt, token, now):
        if key in self._claims:
            return OwnerReply(OwnerState.VOIDED)
        return super().query_attempt(key, attempt, token, now)


class ForgottenIsVoid(ClaimTracker):
    """Reports an attempt that it has forgotten as voided, as if it had never run."""

    def _registry_reply(self, attempt):
        return OwnerReply(OwnerState.VOIDED)


class SayNotRunUnproven(ClaimTracker):
    """Reports NOT_RUN without proof that no earlier request with the key has run."""

    def _settle_waiter(self, claim, waiter, refusal):
        claim.is_known_not_run = True
        return super()._settle_waiter(claim, waiter, refusal)


class KeepProof(ClaimTracker):
    """Reports NOT_RUN to a waiter from a proof that is older than the waiter."""

    def submit(self, key, digest, waiter, now):
        claim = self._claims.get(key)
        proven = claim is not None and claim.is_known_not_run
        actions = super().submit(key, digest, waiter, now)
        if proven:
            claim.is_known_not_run = True
        return actions


class IgnoreDigest(ClaimTracker):
    """Returns the stored response to a different request that has the same key."""

    def _handle_existing_row(self, claim, row):
        claim.digest = unpack_record(row.data).digest
        return super()._handle_existing_row(claim, row)


class UnknownIsVoid(ClaimTracker):
    """Marks a call whose outcome is unknown as voided in the table."""

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
