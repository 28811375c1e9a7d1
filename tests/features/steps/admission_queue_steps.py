"""Steps that offer requests to a target's admission queue on a simulated clock."""

import heapq

from behave import given, then, when

from camphorshelf_core.admissionqueue import AdmissionQueue
from camphorshelf_core.jobs import Job, JobState, LatePolicy

_WORK_S = 0.1
_OBJECTIVE_S = 0.3
_DEADLINE_S = 1.2


class TargetSimulation:
    """Simulates a target that runs the requests its admission queue admits.

    The clock advances only by :meth:`advance`.
    """

    def __init__(self, slots):
        self.now = 0.0
        self.admission = AdmissionQueue(slots)
        self.admission.work_s = _WORK_S
        self.started = []
        self.shed = []
        self.rejected = []
        self.finished = []
        self.busy_s = 0.0
        # Whether requests differ in how long they take.
        self.is_mixed = False
        self._ends = []

    def offer(
        self,
        name,
        priority=2,
        objective=_OBJECTIVE_S,
        late_policy=LatePolicy.REJECT,
        work=_WORK_S,
        left=_DEADLINE_S,
    ):
        job = Job(
            priority,
            self.now + objective,
            self.now + left,
            work,
            late_policy,
            lambda: self._start(name, job),
            lambda wait: self.shed.append((name, wait)),
        )
        result = self.admission.offer(job, self.now)
        if not result.admitted:
            self.rejected.append((name, result.wait_s))
        return job

    def advance(self, until):
        while self._ends and self._ends[0][0] <= until:
            end, _, name, job = heapq.heappop(self._ends)
            self._move_clock(end)
            self.finished.append((name, end, job))
            if self.is_mixed:
                self.admission.record_work(job.work_s)
            self.admission.finish(job, end)
        self._move_clock(until)

    def _move_clock(self, moment):
        self.busy_s += (moment - self.now) * (self.admission.running == self.admission.limit)
        self.now = moment

    def _start(self, name, job):
        self.started.append(name)
        end = self.now + (job.work_s if self.is_mixed else _WORK_S)
        heapq.heappush(self._ends, (end, len(self.started), name, job))


@given("a target with {slots:d} slots")
def make_target(context, slots):
    context.simulation = TargetSimulation(slots)


@given("{count:d} requests of 100 ms with priority 2 that came first")
@when("{count:d} requests come at once")
def arrive_at_once(context, count):
    context.jobs = [context.simulation.offer(number) for number in range(count)]


@given("{count:d} requests of 100 ms with priority 2 and {objective:f} s that came first")
def arrive_with_objective(context, count, objective):
    context.jobs = [
        context.simulation.offer(number, objective=objective) for number in range(count)
    ]


@when("{rate:d} requests a second come for 10 s")
def arrive_steadily(context, rate):
    for number in range(rate * 10):
        context.simulation.advance(number / rate)
        context.simulation.offer(number)
    context.simulation.advance(20.0)
    context.offered_s = 10.0


@when("a request with {milliseconds:d} ms left comes")
def arrive_near_deadline(context, milliseconds):
    context.simulation.offer("short", objective=milliseconds / 1000, left=milliseconds / 1000)


@when("a request with priority 0 comes")
def arrive_urgent(context):
    context.simulation.offer("urgent", priority=0)


@when("the target becomes {factor:d} times slower")
def slow_down(context, factor):
    context.simulation.admission.slowness = float(factor)
    context.simulation.admission.shed_late(context.simulation.now)


@when("{count:d} late requests whose objective has passed come")
def arrive_late(context, count):
    for number in range(count):
        context.simulation.offer(1000 + number, objective=0.0, late_policy=LatePolicy.QUEUE)


@when("{count:d} late requests of 40 ms whose objective has passed come")
def late_calls(context, count):
    for number in range(count):
        context.simulation.offer(
            1000 + number, objective=0.0, late_policy=LatePolicy.QUEUE, work=0.04
        )


@when("{count:d} requests with {left:f} s left come")
def arrive_long(context, count, left):
    for number in range(count):
        context.simulation.offer(f"long {number}", left=left)


@when("its node is to exit in {seconds:f} s")
def plan_exit(context, seconds):
    simulation = context.simulation
    simulation.admission.shed_outlasting(simulation.now + seconds, simulation.now)


@then("the {count:d} requests with {left:f} s left were shed")
def check_long_shed(context, count, left):
    names = [name for name, _ in context.simulation.shed]
    assert names == [f"long {number}" for number in range(count)], names


@when("admission is closed")
def close(context):
    context.simulation.admission.close(context.simulation.now)


@when("the first one that is queued is cancelled")
def cancel_first_queued(context):
    queued = [job for job in context.jobs if job.state is JobState.QUEUED]
    assert context.simulation.admission.cancel(queued[0])


@when("one that runs is finished")
def finish_one(context):
    running = [job for job in context.jobs if job.state is JobState.RUNNING]
    context.simulation.admission.finish(running[0], context.simulation.now)


@when("the target has worked off the queue")
def work_off_queue(context):
    context.simulation.advance(context.simulation.now + 10.0)


@then("{running:d} run and {waiting:d} are queued")
def check_counts(context, running, waiting):
    admission = context.simulation.admission
    assert (admission.running, admission.queued) == (running, waiting), (
        admission.running,
        admission.queued,
    )


@then("{count:d} were rejected, each with its expected wait")
def check_rejected(context, count):
    assert len(context.simulation.rejected) == count, len(context.simulation.rejected)
    assert all(wait > 0.1 for _, wait in context.simulation.rejected)


@then("every request that was admitted is answered within its objective")
def check_all_in_time(context):
    simulation = context.simulation
    assert not simulation.shed
    assert all(end <= job.objective_at + 1e-6 for _, end, job in simulation.finished)


@then("at least {percent:d} in 100 of those admitted are answered within their objective")
def check_mostly_in_time(context, percent):
    simulation = context.simulation
    admitted = len(simulation.finished) + len(simulation.shed)
    in_time = sum(end <= job.objective_at + 1e-6 for _, end, job in simulation.finished)
    assert in_time >= admitted * percent / 100, (in_time, admitted)


@then("the target is busy at least {percent:d} in 100 of the time")
def check_busy(context, percent):
    assert context.simulation.busy_s >= context.offered_s * percent / 100, context.simulation.busy_s


@then("it starts before any of the queued ones")
def check_starts_first(context):
    context.simulation.advance(10.0)
    assert context.simulation.started[7] == "urgent", context.simulation.started


@then("at least {count:d} queued requests are shed at once")
def check_shed(context, count):
    assert len(context.simulation.shed) >= count, context.simulation.shed


@then("{count:d} of them are queued")
def check_late_queued(context, count):
    refused = [name for name, _ in context.simulation.rejected if name >= 1000]
    assert len(refused) == 10 - count, refused


@then("the late ones are answered last")
def check_late_last(context):
    names = [name for name, _, _ in context.simulation.finished]
    assert all(name >= 1000 for name in names[-4:]), names


@then("every queued request was shed")
def check_all_shed(context):
    assert len(context.simulation.shed) == 13, context.simulation.shed


@then("no request that comes later is admitted")
def check_none_admitted(context):
    before = len(context.simulation.rejected)
    context.simulation.offer("later")
    assert len(context.simulation.rejected) == before + 1


_ORDER_OPTIONS = {"priority": 1, "objective": 0.6, "left": 1.2, "work": 0.21}
_CALL_OPTIONS = {"priority": 1, "objective": 0.15, "left": 0.5, "work": 0.04}


@given("a target with {slots:d} slots that runs orders of 210 ms and calls of 40 ms")
@given("a target with {slots:d} slots that runs only calls of 40 ms")
@given("a target with {slots:d} slots that runs uploads, urgent lookups and calls")
def make_mixed_target(context, slots):
    context.simulation = TargetSimulation(slots)
    context.simulation.is_mixed = True


def _offer_mixed(context, rates, seconds):
    simulation, context.offered = context.simulation, []
    arrivals = [
        (number / rate, kind, options)
        for kind, rate, options in rates
        for number in range(rate * seconds)
    ]
    for moment, kind, options in sorted(arrivals, key=lambda one: one[0]):
        simulation.advance(moment)
        context.offered.append((kind, moment))
        simulation.offer((kind, moment), late_policy=LatePolicy.QUEUE, **options)
    simulation.advance(seconds + 5.0)


def _answer_times(context, kind):
    return [end - name[1] for name, end, _ in context.simulation.finished if name[0] == kind]


@when("{orders:d} orders a second and {calls:d} calls a second come for {seconds:d} s")
def offer_orders_and_calls(context, orders, calls, seconds):
    context.seconds = seconds
    _offer_mixed(
        context, (("order", orders, _ORDER_OPTIONS), ("call", calls, _CALL_OPTIONS)), seconds
    )


@when(
    "{uploads:d} uploads of 72 ms, {lookups:d} lookups of 24 ms and {calls:d} calls of 15 ms"
    " a second come for {seconds:d} s"
)
def offer_three_kinds(context, uploads, lookups, calls, seconds):
    rates = (
        ("upload", uploads, {"priority": 1, "objective": 0.3, "left": 2.0, "work": 0.072}),
        ("lookup", lookups, {"priority": 1, "objective": 0.1, "left": 0.6, "work": 0.024}),
        ("call", calls, {"priority": 1, "objective": 0.08, "left": 0.2, "work": 0.015}),
    )
    _offer_mixed(context, rates, seconds)


@when("{calls:d} calls a second come for {seconds:d} s")
def offer_calls(context, calls, seconds):
    _offer_mixed(context, (("call", calls, _CALL_OPTIONS),), seconds)


@then("at least {percent:d} in 100 of the {kind}s are answered within {milliseconds:d} ms")
def check_answered_within(context, percent, kind, milliseconds):
    offered = sum(1 for one, _ in context.offered if one == kind)
    in_time = sum(1 for wait in _answer_times(context, kind) if wait <= milliseconds / 1000)
    assert in_time >= offered * percent / 100, (in_time, offered)


@then("at least {percent:d} in 100 of the calls that are admitted are answered within {limit:d} ms")
def check_calls_in_time(context, percent, limit):
    answer_times = _answer_times(context, "call")
    in_time = sum(1 for wait in answer_times if wait <= limit / 1000)
    assert in_time >= len(answer_times) * percent / 100, (in_time, len(answer_times))


@then("the orders that are admitted are answered within {milliseconds:d} ms")
def check_orders_in_time(context, milliseconds):
    answer_times = _answer_times(context, "order")
    assert answer_times and max(answer_times) <= milliseconds / 1000, max(
        answer_times, default=None
    )


@then("at least {rate:d} orders a second are answered")
def check_orders_answered(context, rate):
    answered = len(_answer_times(context, "order"))
    assert answered >= rate * context.seconds, answered


@then("one queued request of priority 2 was shed for it")
def check_displaced(context):
    # The queue was full, so the urgent request displaced a queued one.
    assert len(context.simulation.shed) == 1, context.simulation.shed
    ((_, wait),) = context.simulation.shed
    assert wait > 0
