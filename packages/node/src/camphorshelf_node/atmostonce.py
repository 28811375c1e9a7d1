"""Guards the last step to the target: an attempt starts once, and never after it was void."""

from camphorshelf_core.attempts import AttemptState
from camphorshelf_core.calls import is_idempotent
from camphorshelf_core.errors import Code, Ran, Refusal

_INVARIANT_BROKEN = Refusal(
    Code.INVARIANT_BROKEN,
    "the call was refused as not run, though its attempt had started",
    Ran.OUTCOME_UNKNOWN,
)


class AtMostOnceGuard:
    """Stands before the gatekeeper for calls that must not run twice."""

    def __init__(self, loop, admission_controller, registry, invariants):
        self._loop = loop
        self._admission_controller = admission_controller
        self._registry = registry
        self._invariants = invariants
        admission_controller.may_start = self.may_start

    def run(self, call, on_done):
        """Run a call, or refuse it.

        :param call: a :class:`~camphorshelf_core.messages.CallMessage`.
        :param on_done: takes the response or refusal, and the load report.
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
        """Tell whether a call was handed to the target.

        :param call: the call.
        :return: True or False.
        """
        return self._registry.state(call.attempt) is AttemptState.STARTED

    def may_start(self, call, deadline):
        """Decide, just before the first byte goes to the target, whether it may.

        A slot or a connection may have taken its time; a call that nobody waits for any more
        must not run, and a voided one never.

        :param call: the call.
        :param deadline: its deadline on the monotonic clock.
        :return: True for the only start there will be.
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
    """Stands for the cancellation of a call that never began."""
