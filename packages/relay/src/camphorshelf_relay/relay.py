"""One caller's request on its way: which targets it is offered to, and its one answer."""

from camphorshelf_core.calls import Response
from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.hedging import hedge_delays
from camphorshelf_core.jobs import LatePolicy
from camphorshelf_core.loadprobes import MAX_PROBE_ROUNDS, put_unanswered_last
from camphorshelf_core.messages import RelayRefusedMessage, RelayAnswerMessage, RelayMessage
from camphorshelf_core.placement import rank
from camphorshelf_core.retry import FAILURE_STATUSES
from camphorshelf_core.retryafter import retry_after, retry_after_shed
from camphorshelf_node.headers import strip_hop_by_hop

# Targets' nodes that a request is offered to in turn before it is refused.
_MAX_OFFERS = 3
_LEAST_SECONDS = 0.01
# Up to this share of its latency objective a request may be held and refused all the same: its
# caller still has most of the time to retry.
_HELD_SHARE = 0.125


class Relay:
    """Drives one request to its single answer."""

    def __init__(self, router, exchange, route, terms):
        self._router = router
        self._loop = router.loop
        self._exchange = exchange
        self._route = route
        self._terms = terms
        self._service = router.pick_part(route)
        self._facts = router.book.facts(route)
        self._arrived = exchange.received
        wait_s = route.timeout_s if terms.wait_s is None else min(terms.wait_s, route.timeout_s)
        elapsed_s = 0.0 if terms.wait_s is None else self._facts.elapsed_before(terms.wait_s)
        self._expires_at = self._arrived + wait_s
        self._objective_at = self._arrived + route.objective_s - elapsed_s
        self._late_policy = LatePolicy.QUEUE
        self._headers = strip_hop_by_hop(exchange.request.headers)
        self._tried = set()
        self._probed = set()
        self._rounds = 0
        self._reached = 0
        self._offers = 0
        self._late_offers = 0
        self._running = {}
        self._shortest_wait = None
        self._maybe_ran = False
        self._failure = None
        self._finished = False
        self._hedge_timers = []
        self._timer = None

    def start(self):
        """Offer the request to the best target.

        :return: None.
        """
        now = self._loop.now()
        if self._expires_at <= now + _LEAST_SECONDS:
            self._refuse(Code.DEADLINE_UNREACHABLE, "its time has passed")
            return
        guard = self._exchange.guard
        self._exchange.when_hung_up(self._on_hang_up)
        self._timer = self._loop.call_later(self._expires_at - now, guard(self._on_expiry))
        self._router.note_request(self._service)
        self._offer_next()

    def _offer_next(self):
        candidates = self._rank(self._loop.now())
        untried = [one for one in candidates if one.address not in self._tried]
        if not candidates:
            self._refuse(Code.NO_TARGET, self._missing_target_reason())
        elif not self._probe(untried):
            self._offer_best(candidates, put_unanswered_last(untried, self._probed))

    def _missing_target_reason(self):
        evacuated = self._router.list_evacuated()
        if evacuated:
            return f"no target outside the evacuated {', '.join(evacuated)} takes work"
        return "no target of the service takes work"

    def _probe(self, untried):
        if self._rounds >= MAX_PROBE_ROUNDS:
            return False
        sent = self._router.probe(untried, self._probed, self._exchange.guard(self._on_probed))
        self._rounds += sent
        return sent

    def _on_probed(self):
        if not self._finished:
            self._offer_next()

    def _offer_best(self, candidates, untried):
        now = self._loop.now()
        in_time = [one for one in untried if now + one.expected_s <= self._objective_at]
        if in_time and self._offers < _MAX_OFFERS:
            self._offer(in_time[0], LatePolicy.REJECT)
        elif self._late_offers < self._late_policy and (untried or not self._late_offers):
            # None will be in time by what is known here; the best one's node knows better, and
            # has room for some late work.
            self._late_offers += 1
            self._offer((untried or candidates)[0], self._late_policy)
        else:
            self._refuse(Code.QUEUE_FULL, "every target is busy beyond the request's time")

    def _rank(self, now):
        router = self._router
        views, objective_left = router.views(self._service), self._objective_at - now
        return rank(views, self._facts.work_s, now, router.domain, objective_left)

    def _offer(self, candidate, late_policy):
        now = self._loop.now()
        self._offers += 1
        self._tried.add(candidate.address)
        offer = _Offer(self, candidate)
        self._running[offer] = None
        self._router.note_sent(candidate.address)
        exchange = self._exchange
        request = exchange.request
        message = RelayMessage(
            call_id=0,
            sent_at=now,
            service=self._service,
            idempotent=self._route.idempotent,
            priority=self._route.priority,
            objective_s=self._objective_at - now,
            remaining_s=self._expires_at - now,
            work_s=self._facts.work_s,
            late_policy=int(late_policy),
            request_id=self._terms.request_id,
            caller_service=self._router.service,
            method=request.method,
            path=request.path,
            headers=self._headers,
            body=request.body,
        )
        cancel = self._router.send(candidate.address, message, exchange.guard(offer.on_message))
        if offer in self._running:
            self._running[offer] = cancel
            if self._route.idempotent and self._route.attempts > 1:
                self._schedule_hedges(candidate, now)

    def _schedule_hedges(self, candidate, now):
        self._cancel_hedges()
        delays = hedge_delays(
            candidate.expected_s,
            self._facts.work_s,
            self._objective_at - now,
            self._expires_at - now,
        )
        guard = self._exchange.guard
        self._hedge_timers = [self._loop.call_later(delay, guard(self._hedge)) for delay in delays]

    def _cancel_hedges(self):
        for timer in self._hedge_timers:
            timer.cancel()
        self._hedge_timers = []

    def on_relayed(self, offer, message):
        """Take a target's answer.

        :param offer: the offer that it answers.
        :param message: the :class:`~camphorshelf_core.messages.RelayAnswerMessage`.
        :return: None.
        """
        self._running.pop(offer, None)
        if self._finished:
            return
        self._reached += 1
        now = self._loop.now()
        failed = message.status in FAILURE_STATUSES
        if message.status < 300:
            self._facts.note_work(message.ran_s / max(0.1, message.slowness))
        if failed and self._route.idempotent:
            # Kept: if no other target can be found, this is the truth, and "not run" is not.
            self._failure = offer, message
            if self._running:
                return
            if self._may_repeat(now, is_rerun=True):
                self._offers = self._late_offers = 0
                self._log_step("repeat", offer, status=message.status)
                self._offer_next()
                return
        self._answer(offer, message)

    def on_declined(self, offer, message):
        """Take the word that an offer got no answer.

        :param offer: the offer.
        :param message: the :class:`~camphorshelf_core.messages.RelayRefusedMessage` or
            :class:`~camphorshelf_core.errors.Refusal` of the link.
        :return: None.
        """
        self._running.pop(offer, None)
        if self._finished:
            return
        now = self._loop.now()
        not_run = _ran(message) is Ran.NOT_RUN
        reached = getattr(message, "reached", not not_run)
        self._reached += reached
        if not not_run:
            self._maybe_ran = True
        wait_s = getattr(message, "wait_s", 0.0)
        if message.code == Code.TARGET_BUSY:
            known = self._shortest_wait
            self._shortest_wait = wait_s if known is None else min(known, wait_s)
        self._log_step("declined", offer, code=Code(message.code).name, wait_s=round(wait_s, 4))
        if now - self._arrived > _HELD_SHARE * self._route.objective_s:
            # It has waited in a queue that became too long. A refusal now would come too late for
            # its caller to do better elsewhere, so it is treated like a retry.
            self._late_policy = LatePolicy.QUEUE_HELD
        if self._running:
            return
        is_final = message.code == Code.QUARANTINED
        if is_final or (not not_run and not self._route.idempotent):
            self._give_up(message)
        elif not reached:
            self._offer_next()
        elif self._may_repeat(now, is_rerun=not not_run):
            self._late_offers = 0
            self._offer_next()
        else:
            self._give_up(message)

    def _may_repeat(self, now, is_rerun):
        if self._reached >= self._route.attempts:
            return False
        if now + self._facts.work_s > self._expires_at:
            return False
        return self._router.spend_retry(self._service, is_rerun)

    def _hedge(self):
        if self._finished or len(self._running) != 1:
            return
        if self._reached + 1 >= self._route.attempts:
            return
        now = self._loop.now()
        due = self._objective_at if now < self._objective_at else self._expires_at
        free = [
            one
            for one in self._rank(now)
            if one.address not in self._tried and one.wait_s == 0.0 and now + one.expected_s <= due
        ]
        if free and self._router.spend_retry(self._service, is_rerun=True):
            (first,) = self._running
            self._log_step("hedge", first, to=free[0].address)
            self._offer(free[0], LatePolicy.REJECT)

    def _answer(self, offer, message):
        self._end()
        self._router.log_outcome(
            self._exchange,
            self._route,
            "answered",
            status=message.status,
            service=self._service,
            target=offer.address,
            expected_ms=round(offer.expected_s * 1000, 1),
            waited_ms=round(message.waited_s * 1000, 1),
            ran_ms=round(message.ran_s * 1000, 1),
            slowness=message.slowness,
            offers=len(self._tried),
            bytes=len(message.body),
        )
        self._exchange.answer(Response(message.status, message.headers, message.body))

    def _give_up(self, message):
        ran = Ran.OUTCOME_UNKNOWN if self._maybe_ran else Ran.NOT_RUN
        self._finish(Refusal(Code(message.code), message.reason, ran))

    def _refuse(self, code, reason):
        if self._maybe_ran:
            self._finish(Refusal(Code.TARGET_LOST, reason, Ran.OUTCOME_UNKNOWN))
            return
        self._finish(Refusal(code, reason))

    def _finish(self, refusal):
        if self._failure is not None:
            self._answer(*self._failure)
            return
        # Who had it when it was given up: that node's log tells the rest.
        under_way = [offer.address for offer in self._running]
        self._end()
        now = self._loop.now()
        if refusal.ran is Ran.NOT_RUN:
            seconds = self._retry_after(refusal, now)
            refusal = refusal._replace(retry_after_ms=max(1, round(seconds * 1000)))
        self._router.refuse(
            self._exchange,
            self._terms.request_id,
            refusal,
            self._route,
            service=self._service,
            offers=len(self._tried),
            held_ms=round((now - self._arrived) * 1000, 1),
            under_way=under_way,
        )

    def _retry_after(self, refusal, now):
        random = self._router.random
        if refusal.code is Code.TARGET_SHED:
            return retry_after_shed(random)
        return retry_after(
            self._shortest_wait, self._objective_at - now, self._facts.work_s, random
        )

    def _on_expiry(self):
        self._timer = None
        self._maybe_ran = self._maybe_ran or bool(self._running)
        if self._maybe_ran:
            reason = "no answer within the route's or the caller's time"
            self._finish(Refusal(Code.DEADLINE_EXCEEDED, reason, Ran.OUTCOME_UNKNOWN))
        else:
            self._finish(Refusal(Code.DEADLINE_UNREACHABLE, "its time has passed"))

    def _on_hang_up(self):
        self._end()
        self._router.log_outcome(self._exchange, self._route, "caller_left")

    def _end(self):
        self._finished = True
        self._cancel_hedges()
        if self._timer is not None:
            self._timer.cancel()
        running, self._running = self._running, {}
        for cancel in running.values():
            if cancel is not None:
                cancel()

    def _log_step(self, event, offer, **fields):
        self._router.log.routine(
            event,
            request=self._terms.request_id,
            route=self._route.name,
            target=offer.address,
            expected_ms=round(offer.expected_s * 1000, 1),
            **fields,
        )


class _Offer:
    """One send of a request to one target's node."""

    def __init__(self, relay, candidate):
        self._relay = relay
        self.address = candidate.address
        self.expected_s = candidate.expected_s

    def on_message(self, message):
        if isinstance(message, RelayAnswerMessage):
            self._relay.on_relayed(self, message)
        elif isinstance(message, RelayRefusedMessage | Refusal):
            self._relay.on_declined(self, message)
        else:
            raise TypeError(f"not an answer to a request: {type(message).__name__}")


def _ran(message):
    return message.ran if isinstance(message.ran, Ran) else Ran(message.ran)
