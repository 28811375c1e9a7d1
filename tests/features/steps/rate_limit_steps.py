"""Steps that send requests to a target with an advertised rate limit, on a simulated clock."""

from behave import given, then, when
from hypothesis import given as given_random
from hypothesis import settings
from hypothesis import strategies as st

from camphorshelf_core.ratelimit import RateLimit
from standins.ratedtarget import RatedTarget

_SERIES = st.lists(
    st.one_of(
        st.tuples(st.just("advertise"), st.sampled_from([0.3, 1.0, 2.0, 3.8, 6.0, 20.0, None])),
        st.tuples(st.just("pass_time"), st.floats(0.05, 5.0)),
        st.tuples(st.just("restart_node"), st.floats(0.3, 2.0)),
        st.tuples(st.just("suspend_node"), st.floats(0.05, 3.0)),
    ),
    max_size=14,
)
_SERIES_COUNT = 300


@given("a target under full load for {seconds:f} s")
def loaded_target(context, seconds):
    context.target = RatedTarget()
    context.target.pass_time(seconds)


@when("it advertises a limit of {per_s:f}")
def advertise(context, per_s):
    context.target.advertise(per_s)


@when("it advertises no limit")
def advertise_none(context):
    context.target.advertise(None)


@when("{seconds:f} s pass under full load")
def pass_time(context, seconds):
    context.target.pass_time(seconds)


@when("{seconds:f} s pass without requests")
def pass_idle_time(context, seconds):
    context.target.pass_time(seconds, has_load=False)


@then("no window has more requests than the limit allows")
def check_windows(context):
    assert not context.target.find_excess(), context.target.find_excess()[:3]


def _count_last(target, seconds):
    return sum(at > target.now - seconds for at in target.starts)


@then("it got at least {least:d} requests in the last {seconds:d} s")
def check_least(context, least, seconds):
    assert _count_last(context.target, seconds) >= least, _count_last(context.target, seconds)


@then("it got at most {most:d} requests in the last {seconds:d} s")
def check_most(context, most, seconds):
    assert _count_last(context.target, seconds) <= most, _count_last(context.target, seconds)


@given("a target whose limit of {per_s:f} was read at {moment:f} s")
def limited(context, per_s, moment):
    context.limit = RateLimit()
    context.limit.record_advertised(per_s, moment)


@when("the response to a request sent at {moment:f} s doesn't advertise it")
def respond_without(context, moment):
    context.limit.record_unadvertised(moment)


@then("the limit is still {per_s:f}")
def check_limit(context, per_s):
    assert context.limit.per_s == per_s


@then("there is no limit")
def check_no_limit(context):
    assert context.limit.per_s is None
    assert context.limit.wait_s(1e9, ahead=1000) == 0.0


@then("the next request is expected to start within {milliseconds:d} ms")
def check_expected_wait(context, milliseconds):
    target = context.target
    assert 0 < target.limit.expected_wait_s(target.now) <= milliseconds / 1000
    assert target.limit.wait_s(target.now) > milliseconds / 1000


@given("a node that has just started beside a target that doesn't respond")
def silent_target(context):
    context.target = RatedTarget()
    context.target._respond = lambda sent_at, node: None


@then("no random series has a window with more requests than its limit allows")
def check_random_series(context):
    @settings(max_examples=_SERIES_COUNT, derandomize=True, deadline=None, database=None)
    @given_random(_SERIES, st.booleans(), st.integers(0, 1000))
    def check(series, probes_advertise, seed):
        target = RatedTarget(seed, probes_advertise)
        for name, argument in series:
            getattr(target, name)(argument)
        target.pass_time(4.0)
        assert not target.find_excess(), target.find_excess()[:3]

    check()
