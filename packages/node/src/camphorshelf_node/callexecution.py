"""Executes one caller's call: attempts, spills, retries, a hedge and the final response."""

from camphorshelf_core.calls import Response, is_idempotent
from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.hedge import hedge_delay, is_hedged
from camphorshelf_core.messages import AnswerMessage, CallMessage
from camphorshelf_core.retry import (
    RETRIES_LEFT_HEADER,
    RetryContext,
    decide_retry,
    is_failure,
    is_target_fault,
    read_retries_left,
    retries_left_after,
)

from .headers import DEADLINE_HEADER, strip_hop_by_hop

_REPLACED_HEADERS = frozenset({DEADLINE_HEADER, RETRIES_LEFT_HEADER})


class CallExecution:
    """Executes one call and gives its exchange exactly one final outcome."""

    def __init__(self, dispatcher, exchange):
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._method = exchange.request.method
        self._headers = _forwarded_headers(exchange.request.headers)
        self._retries_left = read_retries_left(exchange.request.headers)
        self._started = dispatcher.loop.now()
        self._tried = set()
        self._running = set()
        self._spills = 0
        self._expected_ms = 0.0
        self._retried = False
        self._finished = False
        self._hedge_timer = None
        self._deadline_timer = None

    @property
    def guard(self):
        """The exchange's callback wrapper, which turns an exception into a refusal."""
        return self._exchange.guard

    @property
    def remaining_ms(self):
        """The milliseconds left until the call's deadline."""
        return (self._exchange.deadline - self._dispatcher.loop.now()) * 1000

    def start(self):
        """Make the first attempt.

        :return: None.
        """
        dispatcher = self._dispatcher
        guard = self._exchange.guard
        self._exchange.set_disconnect_handler(self._on_disconnect)
        wait = max(0.0, self.remaining_ms / 1000)
        self._deadline_timer = dispatcher.loop.call_later(wait, guard(self._on_deadline))
        if not self._send("fresh"):
            self._finish(dispatcher.no_target_refusal())
            return
        if not self._finished and self._can_hedge():
            delay = hedge_delay(
                dispatcher.latency_quantile(self._exchange.service),
                self.remaining_ms,
                self._expected_ms,
            )
            if delay is not None:
                self._hedge_timer = dispatcher.loop.call_later(delay / 1000, guard(self._on_hedge))

    def _can_hedge(self):
        dispatcher = self._dispatcher
        return is_hedged(self._method) and not dispatcher.is_baseline

    def _send(self, kind, exclude=(), may_spill=None):
        dispatcher = self._dispatcher
        choice = dispatcher.choose(self._exchange.service, exclude)
        if choice is None:
            return False
        if kind == "hedge":
            if not (choice.has_free_slot and dispatcher.hedge_budget.spend()):
                return False
            longest_wait_ms = 0.0
        else:
            may_spill = self._can_spill() if may_spill is None else may_spill
            longest_wait_ms = (
                dispatcher.load_tracker.round_trip.longest_wait_ms if may_spill else None
            )
        self._expected_ms = choice.expected_ms
        self._log(kind, choice, longest_wait_ms)
        _Attempt(self, choice.candidate, kind == "hedge").start(longest_wait_ms)
        return True

    def _can_spill(self):
        # An attempt with a short wait limit costs a message when the target is full. When all
        # targets are full, these messages would add to the overload, so a budget limits them.
        # Spills of attempts in flight when it runs out are charged as well and make it negative,
        # so the configured share holds on average.
        dispatcher = self._dispatcher
        return (
            not dispatcher.is_baseline
            and self._spills < dispatcher.settings.entry.spill_attempts
            and not dispatcher.spill_budget.is_spent
        )

    def _log(self, kind, choice, longest_wait_ms):
        candidate = choice.candidate
        self._dispatcher.log.decision(
            "route",
            call=self._exchange.call_id,
            attempt=kind,
            service=self._exchange.service,
            target=candidate.target,
            reason=choice.reason,
            score=round(choice.score, 1),
            own=candidate.own_in_flight,
            others=candidate.others_in_flight,
            age=candidate.report_age,
            longest_wait_ms=longest_wait_ms,
            version=self._dispatcher.configuration.local_version.version,
        )

    def make_message(self, target, longest_wait_ms):
        """Build the message of a new attempt.

        :param target: the target's name.
        :param longest_wait_ms: how long the call may wait in the target's queue, in milliseconds;
            None for no limit.
        :return: the :class:`~camphorshelf_core.messages.CallMessage`, with a new attempt id.
        """
        request = self._exchange.request
        deadline_ms = max(1, int(self.remaining_ms))
        headers = (
            *self._headers,
            (DEADLINE_HEADER, b"%d" % deadline_ms),
            (RETRIES_LEFT_HEADER, b"%d" % self._retries_left),
        )
        return CallMessage(
            call_id=0,
            attempt=self._dispatcher.next_attempt_id(),
            service=self._exchange.service,
            target=target,
            deadline_ms=deadline_ms,
            caller=self._exchange.caller or "",
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
            longest_wait_ms=longest_wait_ms,
        )

    def on_attempt_started(self, attempt):
        """Record an attempt that is about to be sent.

        :param attempt: the :class:`_Attempt`.
        :return: None.
        """
        self._tried.add(attempt.target)
        self._running.add(attempt)

    def on_attempt_done(self, attempt, result):
        """Finish the call with an attempt's result, or send another attempt.

        :param attempt: the :class:`_Attempt`.
        :param result: the attempt's response or refusal.
        :return: None.
        """
        self._running.discard(attempt)
        if self._finished:
            return
        if isinstance(result, Refusal) and result.code is Code.TARGET_BUSY:
            self._on_busy(attempt)
            return
        dispatcher = self._dispatcher
        if self._record_blamed(attempt, result):
            self._finish(result)
            return
        if self._running and is_failure(result):
            return
        context = RetryContext(
            is_idempotent(self._method), self._retries_left, self.remaining_ms, self._expected_ms
        )
        if decide_retry(result, context, dispatcher.retry_budget).retry:
            self._retried = True
            self._retries_left -= 1
            if self._send("retry", self._tried):
                dispatcher.counts["retries"] += 1
                return
        self._finish(result)

    def _record_blamed(self, attempt, result):
        # The retry of a request that crashes targets is sent within a millisecond. Without the
        # evidence in its headers, the next target's node would admit it like any other request.
        if not isinstance(result, Refusal) or result.code is not Code.TARGET_CRASHED:
            return False
        refused = self._dispatcher.quarantine.record_blamed(self._exchange, attempt.target)
        self._headers = _forwarded_headers(self._exchange.request.headers)
        return refused

    def _on_busy(self, attempt):
        if attempt.is_hedge:
            if not self._running:
                self._finish(self._dispatcher.no_target_refusal())
            return
        dispatcher = self._dispatcher
        self._spills += 1
        dispatcher.load_tracker.round_trip.record(attempt.elapsed_ms)
        dispatcher.counts["spills"] += 1
        dispatcher.spill_budget.charge()
        # If no further spill is allowed, or no other target is left, the next attempt has no wait
        # limit. It may go to any target, also to one that refused, as the refusals carried new
        # load reports.
        may_spill = self._can_spill()
        if not self._send("spill", self._tried if may_spill else (), may_spill):
            self._send("spill", (), may_spill=False)

    def _on_hedge(self):
        self._hedge_timer = None
        if len(self._running) != 1 or self._retried:
            return
        (attempt,) = self._running
        if not attempt.check_overdue(self._expected_ms):
            return
        if self._send("hedge", self._tried):
            self._dispatcher.counts["hedges"] += 1

    def _finish(self, result):
        self._finished = True
        self._stop()
        if isinstance(result, Refusal):
            self._exchange.retries_left = self._retries_left
            self._exchange.refuse(result)
            return
        if is_failure(result):
            result = self._with_retries_left(result)
        elapsed = (self._dispatcher.loop.now() - self._started) * 1000
        self._dispatcher.latency_quantile(self._exchange.service).record(elapsed)
        self._exchange.answer(result)

    def _with_retries_left(self, response):
        headers = tuple(pair for pair in response.headers if pair[0] != RETRIES_LEFT_HEADER)
        left = (RETRIES_LEFT_HEADER, b"%d" % retries_left_after(response, self._retries_left))
        return Response(response.status, (*headers, left), response.body)

    def _on_deadline(self):
        # An attempt that was sent but not answered may have run, even if it is cancelled now.
        ran = Ran.OUTCOME_UNKNOWN if self._running else Ran.NOT_RUN
        reason = "the deadline passed before the answer came"
        refusal = Refusal(Code.DEADLINE_EXCEEDED, reason, ran)
        for attempt in tuple(self._running):
            attempt.record_missed_deadline(refusal)
        self._finish(refusal)

    def _on_disconnect(self):
        self._finished = True
        self._stop()

    def _stop(self):
        for timer in (self._deadline_timer, self._hedge_timer):
            if timer is not None:
                timer.cancel()
        running, self._running = self._running, set()
        for attempt in running:
            attempt.cancel()


def _forwarded_headers(headers):
    return tuple(pair for pair in strip_hop_by_hop(headers) if pair[0] not in _REPLACED_HEADERS)


class _Attempt:
    """One message to one target, under an attempt id that is never reused."""

    def __init__(self, execution, candidate, is_hedge):
        self._execution = execution
        self._dispatcher = execution._dispatcher
        self._service = execution._exchange.service
        self._candidate = candidate
        self._cancel = None
        self._done = False
        self._overdue = False
        self.is_hedge = is_hedge

    @property
    def target(self):
        """The target's name."""
        return self._candidate.target

    @property
    def elapsed_ms(self):
        """The milliseconds since the attempt was sent."""
        return (self._dispatcher.loop.now() - self._sent_at) * 1000

    def start(self, longest_wait_ms):
        dispatcher, candidate = self._dispatcher, self._candidate
        self._execution.on_attempt_started(self)
        self._sent_at = dispatcher.loop.now()
        dispatcher.load_tracker.record_sent(candidate.target)
        message = self._execution.make_message(candidate.target, longest_wait_ms)
        guard = self._execution.guard
        if candidate.address == dispatcher.settings.listen.peers:
            cancel = dispatcher.admission_controller.run(message, guard(self._on_result))
        else:
            link = dispatcher.link(candidate.address)
            dispatcher.configuration.announce_version(link, candidate.address)
            cancel = link.call(message, guard(self._on_message))
        self._cancel = cancel

    def cancel(self):
        if not self._done:
            self._mark_done(cancelled_after_ms=self.elapsed_ms)
            self._dispatcher.load_tracker.record_done(self.target, None)
            self._cancel()

    def check_overdue(self, expected_ms):
        load_tracker = self._dispatcher.load_tracker
        self._overdue = load_tracker.record_overdue(self.target, self._sent_at, expected_ms)
        return self._overdue

    def _mark_done(self, cancelled_after_ms=None):
        self._done = True
        if self._overdue:
            self._dispatcher.load_tracker.record_overdue_done(self.target, cancelled_after_ms)

    def record_missed_deadline(self, refusal):
        if is_target_fault(refusal):
            self._dispatcher.load_tracker.record_outcome(self._service, self.target, True)

    def _on_message(self, message):
        if isinstance(message, Refusal):
            self._on_result(message, None)
        elif isinstance(message, AnswerMessage):
            response = Response(message.status, message.headers, message.body)
            self._on_result(response, message.load)
        else:
            refusal = Refusal(
                Code(message.code), message.reason, Ran(message.ran), message.retry_after_ms
            )
            self._on_result(refusal, message.load)

    def _on_result(self, result, load):
        if self._done:
            return
        self._mark_done()
        load_tracker = self._dispatcher.load_tracker
        if load is not None:
            configuration = self._dispatcher.configuration
            configuration.observe_peer_version(self._candidate.address, load.config_version)
        failed = is_target_fault(result)
        succeeded = isinstance(result, Response) and not failed
        load_tracker.record_done(self.target, load, self.elapsed_ms if succeeded else None)
        if failed or succeeded:
            ejected = load_tracker.record_outcome(self._service, self.target, failed)
            if ejected:
                self._dispatcher.log.decision("eject", service=self._service, target=self.target)
        self._execution.on_attempt_done(self, result)
