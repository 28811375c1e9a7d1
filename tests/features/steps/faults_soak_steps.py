"""Steps that run the fault soak test with one seed."""

from behave import then, when

from soak.faults import FaultRun


@when("seed {seed:d} is run for {seconds:d} s")
def run_seed(context, seed, seconds):
    run = FaultRun(seed, seconds)
    context.findings = run.run()
    context.faults = run.log


@then("no guarantee was violated")
def check_no_findings(context):
    assert not context.findings, (context.findings, context.faults)
