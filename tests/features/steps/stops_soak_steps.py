"""Steps that run the soak of stops and losses of power with one seed."""

from behave import then, when

from soak.stops import StopRun


@when("seed {seed:d} of stops is run for {seconds:d} s")
def run_seed(context, seed, seconds):
    context.run = StopRun(seed, seconds)
    context.findings = context.run.run()


@then("no guarantee was violated by stops")
def check_no_findings(context):
    assert not context.findings, (context.findings[:3], context.run.log)
