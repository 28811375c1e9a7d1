"""Steps about the models of the configuration protocols, random runs and the choice of partners."""

from behave import then, when
from configruns import ConfigRuns
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from camphorshelf_core.partners import choose_partners, poll_probability
from models import config as model

_MODELS = {
    "confirm": (model.make_confirm_model, model.CONFIRM_MUTANTS),
    "spread": (model.make_spread_model, model.SPREAD_MUTANTS),
}


@when("the {name} model and its mutants are explored")
def explore(context, name):
    make, mutants = _MODELS[name]
    context.broken = {}
    for mutant in (None, *mutants):
        states, context.broken[mutant] = model.check(make(mutant))
        print(f"{name} model, mutant {mutant}: {states} states, broken: {context.broken[mutant]}")


@then("only the mutants violate an invariant")
def check_mutants(context):
    assert context.broken.pop(None) == []
    assert context.broken and all(context.broken.values()), context.broken


@then("{runs:d} random runs of {steps:d} steps keep every invariant")
def run_at_random(context, runs, steps):
    chosen = settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=runs,
        stateful_step_count=steps,
        print_blob=False,
    )
    run_state_machine_as_test(ConfigRuns, settings=chosen)


@then("a system of 3, 200 and 2100 nodes polls at most {rate:d} times a second")
def check_polls(context, rate):
    for members in (3, 200, 2100):
        probability = poll_probability(members, rate, 1.0)
        assert 0 < probability <= 1
        assert min(members, rate) * 0.99 <= members * probability <= rate * 1.01 or members < rate


@then(
    "a version from any node of {count:d} in {domains:d} domains reaches all within {steps:d} steps"
)
def check_reach(context, count, domains, steps):
    members = [(f"n{number}", f"fd-{number % domains}") for number in range(count)]
    context.partners = {
        one: choose_partners(one, [m for m in members if m != one], 4) for one in members
    }
    neighbours = {name: set() for name, _ in members}
    for (name, _), partners in context.partners.items():
        for partner in partners:
            neighbours[name].add(partner)
            neighbours[partner].add(name)
    for start in ("n0", "n1", f"n{count - 1}"):
        reached = newest = {start}
        for _ in range(steps):
            newest = {far for near in newest for far in neighbours[near]} - reached
            reached = reached | newest
        assert len(reached) == count, len(reached)


@then("half of the partners are in other domains")
def check_other_domains(context):
    domains = dict(context.partners.keys())
    for (_, domain), partners in context.partners.items():
        assert len(partners) == 4
        assert sum(domains[partner] != domain for partner in partners) >= 2
