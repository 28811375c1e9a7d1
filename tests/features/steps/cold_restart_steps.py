"""Steps that simulate a cold restart of all targets of two services, without a network."""

from behave import given, then, when

from standins.coldfleet import REGISTER, REORDER, ColdFleet, Settings

_TOLERANCE = 0.03


@given("two services whose targets all restart cold after {moment:f} s, with seed {seed:d}")
def limited_fleet(context, moment, seed):
    context.fleet = ColdFleet(Settings(restart_at=moment), seed)


@given("two services whose targets all restart cold after {moment:f} s, without a warm-up limit")
def unlimited_fleet(context, moment):
    context.fleet = ColdFleet(Settings(restart_at=moment), is_limited=False)


@when("the load continues for {seconds:f} s")
def continue_load(context, seconds):
    context.fleet.play(seconds)


@then("the targets have crashed at least {count:d} times")
def check_crashes(context, count):
    assert context.fleet.crashes.total() >= count, context.fleet.crashes


@then("no target has crashed")
def check_no_crash(context):
    assert not context.fleet.crashes, context.fleet.crashes


@then(
    "less than {share:f} of the most urgent requests that arrived from {since:f} s to {until:f} s "
    "were answered"
)
def check_few_served(context, share, since, until):
    served = context.fleet.served_share(REGISTER.name, since, until)
    assert served < share, served


@then("within {seconds:f} s of the restart as large a share of each kind is answered as before")
def check_recovered(context, seconds):
    fleet = context.fleet
    restart_at = fleet.settings.restart_at
    recovered_at = restart_at + seconds
    for kind in (REGISTER, REORDER):
        before = fleet.served_share(kind.name, 0.0, restart_at - kind.deadline_s)
        after = fleet.served_share(kind.name, recovered_at, recovered_at + restart_at)
        assert after >= before - _TOLERANCE, (kind.name, before, after)


@then("the most urgent kind is never answered less often than the others")
def check_urgent_first(context):
    fleet = context.fleet
    for second in range(4, 12, 2):
        urgent = fleet.served_share(REGISTER.name, second, second + 2)
        other = fleet.served_share(REORDER.name, second, second + 2)
        assert urgent >= other - _TOLERANCE, (second, urgent, other)


@then("every refused request was refused within {seconds:f} s")
def check_refused_early(context, seconds):
    refused = [one.last_try_s for one in context.fleet.outcomes if one.result == "refused"]
    assert all(one <= seconds for one in refused), max(refused)
