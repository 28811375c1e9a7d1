"""Steps that check the claim protocol's model and run the claim trackers at random."""

from behave import then, when
from minicheck import check_safety
from returns.result import Failure

from camphorshelf_core.calls import AttemptId, Response
from camphorshelf_core.claimrecords import ClaimKey, ClaimRecord, RecordState, pack_record
from camphorshelf_core.claims import ClaimTracker, Waiter
from camphorshelf_core.errors import Ran
from camphorshelf_core.table import ReadFailure, Row, WriteOutcome, WriteResult
from models.claims import make_model
from soak import claims_mutants
from soak.claims import ClaimsMachine
from soak.claims_world import Process, World
from soak.runs import run_fixed

_MAX_STATES = 1_000_000
_MUTANT_EXAMPLES = 1_500
_KEY = ClaimKey("orders", "k1")


@when("the claim protocol's model is checked exhaustively")
def check_model(context):
    context.reports = [
        check_safety(make_model(after_void=after_void), _MAX_STATES) for after_void in (False, True)
    ]
    for report in context.reports:
        print("claim protocol's model:", report["reachable_states"], "states")


@then("its 3 properties hold in all of its states")
def check_properties(context):
    for report in context.reports:
        assert report["exhaustive"], report
        results = [one["holds"] for one in report["properties"].values()]
        assert results == [True, True, True], report["properties"]


@when("the claim protocol's model is checked without its safeguard: {mutant:w}")
def check_mutant(context, mutant):
    after_void = mutant == "overwrite_without_comparing"
    context.report = check_safety(make_model(mutant, after_void), _MAX_STATES)


@then("a shortest trace shows the violation")
def check_trace(context):
    properties = context.report["properties"].values()
    traces = [one["counterexample"] for one in properties if one["holds"] is False]
    assert traces, context.report
    print("states:", context.report["reachable_states"])
    print("\n".join(step["label"] or "start" for step in traces[0]))


@when("the claim trackers run {examples:d} random examples")
def run_trackers(context, examples):
    run_fixed(ClaimsMachine, examples)


@then("none of their invariants is broken")
def check_invariants(context):
    # A violated invariant fails the run itself, with a minimal trace. The steps show that it ran.
    assert ClaimsMachine.steps > 1_000


@when("the claim trackers run random examples without their safeguard: {mutant:w}")
def run_mutant(context, mutant):
    tracker_class = getattr(claims_mutants, mutant)
    machine = type(mutant, (ClaimsMachine,), {"book_class": tracker_class})
    context.caught = None
    try:
        run_fixed(machine, _MUTANT_EXAMPLES, shrink=False)
    except AssertionError as error:
        context.caught = error


@then("an assertion fails")
def check_caught(context):
    assert context.caught is not None


@when("a waiter joins a takeover after another node has taken over and run the call")
def join_takeover(context):
    context.waiter_results = {
        tracker_class: _join_late_waiter(tracker_class)
        for tracker_class in (ClaimTracker, claims_mutants.KeepProof)
    }


@then("the waiter is told OUTCOME_UNKNOWN, and NOT_RUN if the safeguard is removed")
def check_waiter_result(context):
    assert context.waiter_results[ClaimTracker] is Ran.OUTCOME_UNKNOWN, context.waiter_results
    assert context.waiter_results[claims_mutants.KeepProof] is Ran.NOT_RUN, context.waiter_results


def _join_late_waiter(tracker_class):
    tracker = Process(None, "a", "a1", tracker_class).tracker
    (write,) = tracker.submit(_KEY, b"d", Waiter("first"), 0.0)
    void = ClaimRecord(AttemptId("b1", 1), "b", "b", b"d", RecordState.VOIDED)
    lost = WriteResult(WriteOutcome.LOST, Row(pack_record(void), 7))
    (takeover,) = tracker.on_written(_KEY, write.record.attempt, lost)
    assert takeover.expected == 7
    # At this point another node takes over the void claim, runs the call and answers its caller.
    assert tracker.submit(_KEY, b"d", Waiter("late"), 0.0) == []
    attempt = takeover.record.attempt
    tracker.on_written(_KEY, attempt, WriteResult(WriteOutcome.UNKNOWN))
    settled = tracker.on_read(_KEY, attempt, Failure(ReadFailure("lost")))
    (result,) = [one.result for one in settled if getattr(one, "token", None) == "late"]
    assert not isinstance(result, Response)
    return result.ran


@when("the owner of a running call is killed and its key is sent to another node")
def resend_after_kill(context):
    context.runs = {
        tracker_class: _count_runs_after_kill(tracker_class)
        for tracker_class in (ClaimTracker, claims_mutants.TakeOverOpen)
    }


@then("the call has run once, and twice if the safeguard is removed")
def check_run_once(context):
    assert context.runs == {ClaimTracker: 1, claims_mutants.TakeOverOpen: 2}, context.runs


def _count_runs_after_kill(tracker_class):
    world = World(tracker_class)
    world.submit(0, _KEY, b"d", vouch=False)
    # The claim's write is answered; the call reaches the target, whose answer doesn't arrive.
    world.advance(1)
    world.step(world.pending[-1], "apply")
    assert world.runs[_KEY] == 1
    world.kill(0)
    world.submit(1, _KEY, b"d", vouch=False)
    world.advance(6)
    return world.runs[_KEY]
