"""Ensures that a non-idempotent attempt starts at most once, and not after it was voided."""

from camphorshelf_core.attempts import AttemptState
from camphorshelf_core.calls import is_idempotent
from camphorshelf_core.errors import Code, Ran, Refusal

_INVARIANT_BROKEN = Refusal(
    Code.INVARIANT_BROKEN,
    "the call was refused as not run, but its attempt had started",
    Ran.OUTCOME_UNKNOWN,
)


class AtMostOnceGuard:
    """Wraps the admission controller so that non-idempotent attempts run at most once."""

    def __init__(self, loop, admission_controller, registry, invariants):
        self._loop = loop
        self._admission_controller = admission_controller
        self._registry = registry
        self._invariants = invariants
        admission_controller.may_start = self.may_start

    def run(self, call, on_done):
        """Run a call, or refuse it.

        :param call: a :class:`~camphorshelf_core.messages.CallMessage`.
        :param on_done: called with the response or refusal, and the load report.
        :return: a function that cancels the call.
        """
        if is_idempotent(call.method):
            return self._admission_controller.run(call, on_done)
        if self._registry.state(call.attempt) is not AttemptState.NEW:
            reason = "the target's node has seen this attempt before"
            refusal = Refusal(Code.ATTEMPT_REPEATED, reason, Ran.OUTCOME_UNKNOWN)
            on_done(refusal, self._admission_controller.load)
            return _do_nothing

        def done(result, load):
            on_done(self._check_result(call, result), load)

        cancel = self._admission_controller.run(call, done)

        def void_and_cancel():
            self._registry.void(call.attempt)
            cancel()

        return void_and_cancel

    def has_started(self, call):
        """Return whether a call was sent to the target.

        :param call: the :class:`~camphorshelf_core.messages.CallMessage`.
        :return: True if its attempt has started.
        """
        return self._registry.state(call.attempt) is AttemptState.STARTED

    def may_start(self, call, deadline):
        """Decide, just before the first byte is sent to the target, whether the call may start.

        The wait for a slot or a connection may have been long. A call past its deadline must not
        run, and neither must a voided attempt.

        :param call: the :class:`~camphorshelf_core.messages.CallMessage`.
        :param deadline: the call's deadline, in seconds on the loop's clock.
        :return: whether the call may start; for a non-idempotent attempt True at most once.
        """
        if deadline <= self._loop.now():
            return False
        return is_idempotent(call.method) or self._registry.start(call.attempt)

    def _check_result(self, call, result):
        if not isinstance(result, Refusal) or result.ran is not Ran.NOT_RUN:
            return result
        if result.code in _NOT_RUN_BY_TARGET:
            self._registry.mark_voided(call.attempt)
            return result
        is_void = self._registry.void(call.attempt)
        return result if self._invariants.holds("not_run_is_void", is_void) else _INVARIANT_BROKEN


_NOT_RUN_BY_TARGET = frozenset({Code.TARGET_SHED})


def _do_nothing():
    """Does nothing; the cancel function of a call that was never started."""
