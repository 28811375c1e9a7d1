"""Runs one request at the target beside the node: at most once, and never past its time."""

from camphorshelf_core.calls import Request
from camphorshelf_core.errors import Code, Ran
from camphorshelf_core.jobs import Job, LatePolicy
from camphorshelf_core.messages import RelayRefusedMessage, RelayAnswerMessage
from camphorshelf_core.retry import FAILURE_STATUSES

from .targetconnection import Answered

# A request that is written so long after its start, for its connection opened late, is checked
# once more.
_LATE_WRITE_SECONDS = 0.1


class Run:
    """One request between its admission and its end.

    :param gate: the :class:`~camphorshelf_relay.gate.Gate`.
    :param loop: the node's loop.
    :param message: the :class:`~camphorshelf_core.messages.RelayMessage`.
    :param reply: takes the answering message, once.
    """

    def __init__(self, gate, loop, message, reply):
        self._gate = gate
        self._loop = loop
        self._message = message
        self._reply = reply
        self.fingerprint = gate.crashes.name(message)
        self._arrived = loop.now()
        self._expires_at = self._arrived + message.remaining_s
        self._started = None
        self._slowness = 1.0
        self._abort = None
        self._timer = None
        self._job = Job(
            message.priority,
            self._arrived + message.objective_s,
            self._expires_at,
            message.work_s,
            LatePolicy(message.late_policy),
            self._start,
            self._on_shed,
        )

    def offer(self):
        """Start it, let it wait or decline it.

        :return: a function that breaks it off, or None when it is answered already.
        """
        result = self._gate.admission.offer(self._job, self._arrived)
        if not result.admitted:
            self.decline(Code.TARGET_BUSY, "no slot in time", Ran.NOT_RUN, result.wait_s)
            return None
        self._timer = self._loop.call_later(max(0.0, self._message.remaining_s), self._on_expiry)
        return self.cancel

    def cancel(self):
        """Break it off and tell nobody.

        :return: None.
        """
        if self._reply is None:
            return
        self._reply = None
        self._log_cancel()
        self._release()
        self._gate.count("cancelled")

    def decline(self, code, reason, ran, wait_s=0.0, reached=False):
        """Answer that it has no answer of a target.

        :param code: the :class:`~camphorshelf_core.errors.Code`.
        :param reason: one sentence.
        :param ran: whether it ran, a :class:`~camphorshelf_core.errors.Ran`.
        :param wait_s: how long it would have had to wait.
        :param reached: whether the target got it.
        :return: None.
        """
        reply, self._reply = self._reply, None
        if reply is None:
            return
        self._release()
        self._gate.count(code.name.lower())
        self._log_decline(code, ran, wait_s)
        reply(RelayRefusedMessage(0, int(code), reason, ran.value, wait_s, reached))

    def _log_decline(self, code, ran, wait_s):
        gate = self._gate
        note = gate.log.routine if code is Code.TARGET_BUSY else gate.log.notable
        note(
            "turned_away" if self._started is None else "run_failed",
            request=self._message.request_id,
            code=code.name,
            ran=ran.value,
            wait_ms=round(wait_s * 1000, 1),
            running=gate.admission.running,
            queued=gate.admission.queued,
            limit=gate.admission.limit,
            slowness=gate.target.slowness,
            cold=gate.target.is_limited,
            instance=gate.target.record.instance,
            held_ms=round((self._loop.now() - self._arrived) * 1000, 1),
        )

    def _log_cancel(self):
        # Without it a request that its entry node gave up at the deadline leaves no trace here, and
        # nobody can tell which target had it.
        now = self._loop.now()
        started = now if self._started is None else self._started
        target = self._gate.target
        self._gate.log.notable(
            "run_cancelled",
            request=self._message.request_id,
            waited_ms=round((started - self._arrived) * 1000, 1),
            ran_ms=round((now - started) * 1000, 1),
            slowness=target.slowness,
            instance=target.record.instance,
        )

    def _start(self):
        now = self._loop.now()
        left = self._expires_at - now
        target = self._gate.target
        self._started = now
        self._slowness = target.slowness
        message = self._message
        headers = self._gate.dialect.write_request(
            message.headers, left, target.record.instance, message.caller_service
        )
        request = Request(message.method, message.path, headers, message.body)
        self._abort = target.link.send(
            request, message.request_id, message.idempotent, self._on_result, self._is_still_wanted
        )

    def _is_still_wanted(self):
        now = self._loop.now()
        if now - self._started <= _LATE_WRITE_SECONDS:
            return True
        if not self._gate.target.accepting:
            return False
        # Connections that open late all at once would bring a cold target a second's requests in
        # one moment: each counts again when it is written.
        self._gate.admission.warm_up.note_start(now)
        return True

    def _on_result(self, result):
        self._abort = None
        if self._reply is None:
            return
        if isinstance(result, Answered):
            self._on_answer(result)
        elif result.withdrawn:
            self.decline(Code.NO_TARGET, result.reason, Ran.NOT_RUN)
        elif result.sent:
            self._gate.target.note_outcome(True)
            self._gate.target.note_lost()
            if result.crashed:
                self._gate.crashes.note_lost(self.fingerprint)
            self.decline(Code.TARGET_LOST, result.reason, Ran.OUTCOME_UNKNOWN, reached=True)
        else:
            self._gate.target.note_unreachable()
            self.decline(Code.TARGET_UNREACHABLE, result.reason, Ran.NOT_RUN)

    def _on_answer(self, answered):
        response, word, origin = answered
        target = self._gate.target
        target.note_word(word)
        if word.not_run:
            self._on_not_run(response, word)
            return
        if word.misleading:
            # Passed on, it would make its caller send an order again that may have run.
            target.note_outcome(True)
            reason = f"the target answered {response.status} without saying that it did not run"
            self.decline(Code.TARGET_LOST, reason, Ran.OUTCOME_UNKNOWN, reached=True)
            return
        now = self._loop.now()
        ran_s = now - self._started
        target.note_outcome(response.status in FAILURE_STATUSES)
        self._gate.crashes.note_answered(self.fingerprint, self._started)
        if response.status < 300:
            slowness = max(0.1, (self._slowness + target.slowness) / 2)
            self._note_run(ran_s / slowness, now)
        waited_s = self._started - self._arrived
        self._gate.log.routine(
            "run_ended",
            request=self._message.request_id,
            status=response.status,
            waited_ms=round(waited_s * 1000, 1),
            ran_ms=round(ran_s * 1000, 1),
            slowness=self._slowness,
            instance=target.record.instance,
            bytes=len(response.body),
            **origin._asdict(),
        )
        reply, self._reply = self._reply, None
        self._release()
        self._gate.count("answered")
        self._gate.on_answer(waited_s, ran_s)
        reply(
            RelayAnswerMessage(
                0,
                response.status,
                response.headers,
                response.body,
                waited_s,
                ran_s,
                self._slowness,
            )
        )

    def _note_run(self, seconds, now):
        admission = self._gate.admission
        before = admission.limit
        admission.note_run(self._job, seconds, now)
        if admission.limit != before:
            self._gate.log.notable(
                "limit_moved",
                before=before,
                limit=admission.limit,
                slots=admission.slots,
                instance=self._gate.target.record.instance,
            )

    def _on_not_run(self, response, word):
        target = self._gate.target
        if response.status == 421:
            target.note_other(word.instance)
            self.decline(Code.NO_TARGET, "another process has the address", Ran.NOT_RUN)
            return
        target.note_outcome(True)
        self.decline(Code.TARGET_SHED, "the target turned it away", Ran.NOT_RUN, reached=True)

    def _on_shed(self, wait_s):
        self.decline(Code.TARGET_BUSY, "the wait became too long", Ran.NOT_RUN, wait_s)

    def _on_expiry(self):
        self._timer = None
        if self._started is None:
            self.decline(Code.DEADLINE_UNREACHABLE, "its time passed in the queue", Ran.NOT_RUN)
        else:
            self.decline(
                Code.DEADLINE_EXCEEDED, "its time passed", Ran.OUTCOME_UNKNOWN, reached=True
            )

    def _release(self):
        if self._timer is not None:
            self._timer.cancel()
        if self._abort is not None:
            # The connection goes with the request: the target drops its work, and nothing that
            # it still says can reach another request.
            self._abort()
            self._abort = None
        if not self._gate.admission.cancel(self._job):
            self._gate.admission.finish(self._job, self._loop.now())
        self._gate.keep_pace()
        self._gate.target.on_change()
