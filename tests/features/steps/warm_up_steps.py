"""Steps that send requests to a target that may be cold, on a simulated clock."""

from behave import given, then, when

from camphorshelf_core.admissionqueue import AdmissionQueue
from camphorshelf_core.jobs import Job, LatePolicy
from camphorshelf_core.startlimits import StartLimits
from camphorshelf_core.warmup import WarmUp, WarmUpBounds

_BOUNDS = WarmUpBounds(1.5, 8.0)
_RATE_PER_S = 7.0
_COLD_SECONDS = 3.0
_STEP_SECONDS = 0.001
_REPORT_INTERVAL_SECONDS = 0.1
_STARTED_AT = 1_000.0


class WarmUpSimulation:
    """Simulates the warm-up of a target and records the requests that were started."""

    def __init__(self, age):
        self.now = _STARTED_AT
        self.warm_up = WarmUp(self.now)
        self.warm_up.configure(_RATE_PER_S, _COLD_SECONDS, _BOUNDS, self.now)
        self.now += age
        self.reported_at = None
        self.cold_until = 0.0
        self.starts = []
        self.waits = []
        self.rate_changed_at = 0

    def receive(self, per_s, seconds):
        """Let requests arrive evenly, and start each as soon as it may be sent."""
        end, next_at, waiting = self.now + seconds, self.now, []
        while self.now < end:
            self._repeat_report()
            while next_at <= self.now:
                waiting.append(next_at)
                next_at += 1 / per_s
            while waiting and self.warm_up.wait_s(self.now) <= 0:
                self.waits.append(self.now - waiting.pop(0))
                self.start()
            self.now += _STEP_SECONDS

    def report(self, cold_left_s):
        """Let the target report now, and regularly from now on, whether it is cold."""
        self.cold_until = self.now + cold_left_s
        self.reported_at = self.now
        self.warm_up.record_response(cold_left_s, self.now)

    def _repeat_report(self):
        if self.reported_at is not None and self.now - self.reported_at >= _REPORT_INTERVAL_SECONDS:
            self.report(max(0.0, self.cold_until - self.now))

    def start(self):
        """Start one request."""
        self.warm_up.record_start(self.now)
        self.starts.append(self.now)


@given("a target that has reported that it is cold for {seconds:f} s")
def reported_cold(context, seconds):
    context.simulation = WarmUpSimulation(age=5.0)
    context.simulation.report(seconds)


@given("a target that has reported that it is warm")
def reported_warm(context):
    context.simulation = WarmUpSimulation(age=5.0)
    context.simulation.report(0.0)


@given("a target that has reported nothing")
def reported_nothing(context):
    context.simulation = WarmUpSimulation(age=0.0)


@given("its service has no rate")
def no_rate(context):
    context.simulation.warm_up.configure(None, 0.0, _BOUNDS, context.simulation.now)


@when("{per_s:d} requests a second come for {seconds:f} s")
def requests_arrive(context, per_s, seconds):
    context.simulation.receive(per_s, seconds)


@when("nothing is heard of it for {seconds:f} s")
def pass_time_unheard(context, seconds):
    context.simulation.reported_at = None
    context.simulation.now += seconds


@when("it reports that it is cold for {seconds:f} s")
def report_cold(context, seconds):
    context.simulation.report(seconds)


@when("it reports that it is warm")
def report_warm(context):
    context.simulation.report(0.0)


@when("it announces that it is cold for {seconds:f} s")
def announce(context, seconds):
    context.simulation.warm_up.record_announced(seconds, context.simulation.now)


@when("its health response does not mention it")
def respond_without_report(context):
    context.simulation.warm_up.record_response(None, context.simulation.now)


@when("its connection closes")
def close_connection(context):
    context.simulation.reported_at = None
    context.simulation.warm_up.record_replaced(context.simulation.now)


@when("the rate becomes {rate:f} a second with a bound of {bound:f}")
def change_rate(context, rate, bound):
    context.simulation.rate_changed_at = context.simulation.now
    bounds = WarmUpBounds(1.0, bound - rate)
    context.simulation.warm_up.configure(rate, _COLD_SECONDS, bounds, context.simulation.now)


@when("{count:d} requests that started {seconds:f} s ago are written at once")
def write_late(context, count, seconds):
    for _ in range(count):
        context.simulation.warm_up.record_start(context.simulation.now)
    context.simulation.now += seconds
    for _ in range(count):
        context.simulation.start()


@then("no second has more than {most:d} starts")
@then("no second after the last report that it was warm has more than {most:d} starts")
def check_most(context, most):
    assert _busiest_second(context.simulation.starts) <= most, _busiest_second(
        context.simulation.starts
    )


@then("no second since then has more than {most:d} starts")
def check_most_since(context, most):
    starts = [
        at for at in context.simulation.starts if at >= context.simulation.rate_changed_at - 1.0
    ]
    late = [at for at in starts if at >= context.simulation.rate_changed_at]
    assert late, "no request was started after the rate changed"
    busiest = max(sum(at - 1.0 < other <= at for other in starts) for at in late)
    assert busiest <= most, busiest


@then("at least {least:d} start in each whole second")
def check_least(context, least):
    first, last = context.simulation.starts[0], context.simulation.starts[-1]
    for second in range(int(last - first)):
        count = sum(first + second <= at < first + second + 1 for at in context.simulation.starts)
        assert count >= least, (second, count)


@then("every request starts when it arrives")
def check_no_wait(context):
    assert context.simulation.waits and max(context.simulation.waits) <= _STEP_SECONDS, max(
        context.simulation.waits
    )


@then("a request starts at once")
def check_starts(context):
    assert context.simulation.warm_up.wait_s(context.simulation.now) == 0.0


@then("the next request waits for at least {least:f} s and at most {most:f} s")
def check_wait(context, least, most):
    wait = context.simulation.warm_up.wait_s(context.simulation.now)
    assert least <= wait <= most, wait


@then("{count:d} requests have started")
def check_count(context, count):
    assert len(context.simulation.starts) == count, len(context.simulation.starts)


@then("at most {most:d} requests have started")
def check_at_most(context, most):
    assert len(context.simulation.starts) <= most, len(context.simulation.starts)


@then("at least {least:d} requests have started")
def check_at_least(context, least):
    assert len(context.simulation.starts) >= least, len(context.simulation.starts)


@given("a cold target whose queue holds {count:d} requests of priority 2")
def cold_queue(context, count):
    simulation = context.simulation = WarmUpSimulation(age=5.0)
    simulation.report(3.0)
    context.admission = AdmissionQueue(9, StartLimits(simulation.warm_up))
    context.order = []
    while context.admission.queued < count:
        _offer(context, 2)


@when("a request of priority 0 is queued")
def queue_urgent(context):
    _offer(context, 0)


@then("it starts next")
def check_next(context):
    before = len(context.order)
    wait = context.admission.next_dispatch_s(context.simulation.now)
    context.admission.dispatch(context.simulation.now + wait)
    assert context.order[before:] == [0], context.order[before:]


@given("a cold target whose queue is full")
def full_queue(context):
    cold_queue(context, 1)
    while _offer(context, 2).admitted:
        pass
    context.rejected = None


@when("one more request arrives")
def one_more(context):
    context.rejected = _offer(context, 2)


@then("it is rejected at once with the wait for its start")
def check_rejected(context):
    assert not context.rejected.admitted
    queued, limit = context.admission.queued, context.simulation.warm_up
    assert context.rejected.wait_s >= limit.wait_s(context.simulation.now, queued) > 0


def _offer(context, priority):
    now = context.simulation.now
    job = Job(
        priority,
        now + 1.0,
        now + 4.0,
        0.1,
        LatePolicy.REJECT,
        lambda: context.order.append(priority),
        lambda wait: None,
    )
    return context.admission.offer(job, now)


def _busiest_second(starts):
    return max(sum(at <= other < at + 1.0 for other in starts) for at in starts)
