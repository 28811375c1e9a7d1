"""Steps that check the model of members and run the code of hosts with random events."""

from behave import then, when
from minicheck import check_safety

from models.members import MUTANTS, make_model
from soak.members import BehindMachine, MembersMachine
from soak.members_mutants import patch_mutant
from soak.members_world import patch_fleet
from soak.runs import run_fixed

_MAX_STATES = 200_000
_MUTANT_EXAMPLES = 100
_STEPS = 12
_SUSPICIONS = 1
_BEHIND_BUDGETS = {"tells": 1, "restarts": 2, "suspicions": _SUSPICIONS, "doubles": 0}
_MUTANT_BUDGETS = {"tells": 1, "restarts": 2, "suspicions": 2, "doubles": 1}
_MACHINES = {
    "with clocks in order": MembersMachine,
    "with each clock further behind": BehindMachine,
}


@when(
    "the model of members is checked with {tells:d} messages, {restarts:d} restarts"
    " and {doubles:d} duplicates"
)
def check_model(context, tells, restarts, doubles):
    model = make_model(tells=tells, restarts=restarts, suspicions=_SUSPICIONS, doubles=doubles)
    _check(context, model)


@when("the model of members is checked with clocks that are behind")
def check_behind(context):
    _check(context, make_model(is_clock_behind=True, **_BEHIND_BUDGETS))


def _check(context, model):
    context.report = check_safety(model, _MAX_STATES)
    print("model of members:", context.report["reachable_states"], "states")


@then("the {count:d} properties of members hold in all states")
def check_properties(context, count):
    assert context.report["exhaustive"], context.report
    verdicts = [one["holds"] for one in context.report["properties"].values()]
    assert verdicts == [True] * count, context.report["properties"]


@when("the model of members is checked without its safeguard: {mutant:w}")
def check_mutant(context, mutant):
    assert mutant in MUTANTS, mutant
    _check(context, make_model(mutant, mutant == "never_outbid", **_MUTANT_BUDGETS))


@then("a shortest trace shows a violated property of members")
def check_trace(context):
    properties = context.report["properties"].items()
    violated = {name: one["counterexample"] for name, one in properties if one["holds"] is False}
    assert violated, context.report
    for name, trace in violated.items():
        print("\n".join([f"violated: {name}", *(step["label"] or "start" for step in trace)]))


@when("six hosts run {examples:d} random examples, {clocks}")
def run_hosts(context, examples, clocks):
    context.machine = _MACHINES[clocks]
    with patch_fleet():
        run_fixed(context.machine, examples, _STEPS)


@then("no property of the hosts is violated")
def check_hosts(context):
    # A violated property fails the run itself, with a minimal trace. This checks that the run took
    # enough steps.
    assert context.machine.steps > 80, context.machine.steps


@when("six hosts run random examples without their safeguard: {mutant:w}")
def run_mutant(context, mutant):
    base = BehindMachine if mutant == "never_outbid" else MembersMachine
    machine = type(mutant, (base,), {})
    context.caught = None
    try:
        with patch_fleet(), patch_mutant(mutant):
            run_fixed(machine, _MUTANT_EXAMPLES, _STEPS, shrink=False)
    except AssertionError as error:
        context.caught = error
        print(error)


@then("a property of the hosts is violated")
def check_violated(context):
    assert context.caught is not None
