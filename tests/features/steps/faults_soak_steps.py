"""Steps that play one seed of the fault soak."""

from behave import then, when

from soak.faults import FaultRun


@when("seed {seed:d} is played for {seconds:d} s")
def play(context, seed, seconds):
    run = FaultRun(seed, seconds)
    context.findings = run.run()
    context.faults = run.log


@then("no promise was broken")
def nothing_broken(context):
    assert not context.findings, (context.findings, context.faults)
