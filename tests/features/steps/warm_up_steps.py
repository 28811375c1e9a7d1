"""Steps that send requests to a target that may be cold, on a clock of their own."""

from behave import given, then, when

from camphorshelf_core.admissionqueue import AdmissionQueue
from camphorshelf_core.jobs import Job, LatePolicy
from camphorshelf_core.warmup import WarmUp, WarmUpBounds

_BOUNDS = WarmUpBounds(1.5, 8.0)
_RATE_PER_S = 7.0
_COLD_SECONDS = 3.0
_STEP = 0.001
_WORD_EACH = 0.1
_JUST_STARTED = 1_000.0


class Play:
    """A target's warm-up, and the requests that were started."""

    def __init__(self, age):
        self.now = _JUST_STARTED
        self.warm_up = WarmUp(self.now)
        self.warm_up.configure(_RATE_PER_S, _COLD_SECONDS, _BOUNDS, self.now)
        self.now += age
        self.told_at = None
        self.cold_until = 0.0
        self.starts = []
        self.waits = []
        self.mark = 0

    def come(self, per_s, seconds):
        """Let requests come evenly, and start each as soon as it may be sent."""
        end, next_at, waiting = self.now + seconds, self.now, []
        while self.now < end:
            self._repeat()
            while next_at <= self.now:
                waiting.append(next_at)
                next_at += 1 / per_s
            while waiting and self.warm_up.wait_s(self.now) <= 0:
                self.waits.append(self.now - waiting.pop(0))
                self.start()
            self.now += _STEP

    def say(self, cold_left_s):
        """Let the target tell, and go on telling, whether it is cold."""
        self.cold_until = self.now + cold_left_s
        self.told_at = self.now
        self.warm_up.record_response(cold_left_s, self.now)

    def _repeat(self):
        if self.told_at is not None and self.now - self.told_at >= _WORD_EACH:
            self.say(max(0.0, self.cold_until - self.now))

    def start(self):
        """Start one request."""
        self.warm_up.record_start(self.now)
        self.starts.append(self.now)


@given("a target that has told it is cold for {seconds:f} s")
def told_cold(context, seconds):
    context.play = Play(age=5.0)
    context.play.say(seconds)


@given("a target that has told it is warm")
def told_warm(context):
    context.play = Play(age=5.0)
    context.play.say(0.0)


@given("a target that has told nothing")
def told_nothing(context):
    context.play = Play(age=0.0)


@given("its service has no rate")
def no_rate(context):
    context.play.warm_up.configure(None, 0.0, _BOUNDS, context.play.now)


@when("{per_s:d} requests a second come for {seconds:f} s")
def come(context, per_s, seconds):
    context.play.come(per_s, seconds)


@when("it is away for {seconds:f} s")
def pass_time(context, seconds):
    context.play.told_at = None
    context.play.now += seconds


@when("it tells that it is cold for {seconds:f} s")
def tell_cold(context, seconds):
    context.play.say(seconds)


@when("it tells that it is warm")
def tell_warm(context):
    context.play.say(0.0)


@when("it announces that it is cold for {seconds:f} s")
def announce(context, seconds):
    context.play.warm_up.record_announced(seconds, context.play.now)


@when("its health answers without a word of that")
def say_nothing(context):
    context.play.warm_up.record_response(None, context.play.now)


@when("its connection breaks off")
def break_off(context):
    context.play.told_at = None
    context.play.warm_up.record_replaced(context.play.now)


@when("the rate becomes {rate:f} a second with a bound of {bound:f}")
def change_rate(context, rate, bound):
    context.play.mark = context.play.now
    bounds = WarmUpBounds(1.0, bound - rate)
    context.play.warm_up.configure(rate, _COLD_SECONDS, bounds, context.play.now)


@when("{count:d} requests that started {seconds:f} s ago are written at once")
def write_late(context, count, seconds):
    for _ in range(count):
        context.play.warm_up.record_start(context.play.now)
    context.play.now += seconds
    for _ in range(count):
        context.play.start()


@then("no second has more than {most:d} starts")
@then("no second after the last word that it was warm has more than {most:d} starts")
def check_most(context, most):
    assert _busiest_second(context.play.starts) <= most, _busiest_second(context.play.starts)


@then("no second since then has more than {most:d} starts")
def check_most_since(context, most):
    starts = [at for at in context.play.starts if at >= context.play.mark - 1.0]
    late = [at for at in starts if at >= context.play.mark]
    assert late, "nothing was started any more"
    busiest = max(sum(at - 1.0 < other <= at for other in starts) for at in late)
    assert busiest <= most, busiest


@then("at least {least:d} start in each whole second")
def check_least(context, least):
    first, last = context.play.starts[0], context.play.starts[-1]
    for second in range(int(last - first)):
        count = sum(first + second <= at < first + second + 1 for at in context.play.starts)
        assert count >= least, (second, count)


@then("every request starts when it comes")
def check_no_wait(context):
    assert context.play.waits and max(context.play.waits) <= _STEP, max(context.play.waits)


@then("a request starts at once")
def check_starts(context):
    assert context.play.warm_up.wait_s(context.play.now) == 0.0


@then("the next request waits for at least {least:f} s and at most {most:f} s")
def check_wait(context, least, most):
    wait = context.play.warm_up.wait_s(context.play.now)
    assert least <= wait <= most, wait


@then("{count:d} requests have started")
def check_count(context, count):
    assert len(context.play.starts) == count, len(context.play.starts)


@then("at most {most:d} requests have started")
def check_at_most(context, most):
    assert len(context.play.starts) <= most, len(context.play.starts)


@then("at least {least:d} requests have started")
def check_at_least(context, least):
    assert len(context.play.starts) >= least, len(context.play.starts)


@given("a cold target whose queue holds {count:d} requests of priority 2")
def cold_queue(context, count):
    play = context.play = Play(age=5.0)
    play.say(3.0)
    context.admission = AdmissionQueue(9, play.warm_up)
    context.order = []
    while context.admission.queued < count:
        _offer(context, 2)


@when("a request of priority 0 is queued")
def queue_urgent(context):
    _offer(context, 0)


@then("it starts next")
def check_next(context):
    before = len(context.order)
    wait = context.admission.next_dispatch_s(context.play.now)
    context.admission.dispatch(context.play.now + wait)
    assert context.order[before:] == [0], context.order[before:]


@given("a cold target whose queue is full")
def full_queue(context):
    cold_queue(context, 1)
    while _offer(context, 2).admitted:
        pass
    context.rejected = None


@when("one more request comes")
def one_more(context):
    context.rejected = _offer(context, 2)


@then("it is rejected at once with the wait for its start")
def check_rejected(context):
    assert not context.rejected.admitted
    queued, limit = context.admission.queued, context.play.warm_up
    assert context.rejected.wait_s >= limit.wait_s(context.play.now, queued) > 0


def _offer(context, priority):
    now = context.play.now
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
