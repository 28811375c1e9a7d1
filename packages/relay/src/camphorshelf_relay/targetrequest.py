"""Runs one request at the local target, at most once and never beyond its deadline."""

from camphorshelf_core.bodies import MIN_UPLOAD_BYTES, ArrivingBody, WholeBody
from camphorshelf_core.calls import Request
from camphorshelf_core.errors import Code, Ran
from camphorshelf_core.jobs import Job, LatePolicy
from camphorshelf_core.messages import (
    RelayAnswerMessage,
    RelayHeadMessage,
    RelayRefusedMessage,
)
from camphorshelf_core.retry import FAILURE_STATUSES

from .outgoingbody import OutgoingBody
from .targetconnection import TargetResponse

# If opening the connection delays a request by more than this, the node checks again whether the
# target accepts requests before it writes the request.
_LATE_WRITE_SECONDS = 0.1
# Another process than the expected one answers a request with this status.
_WRONG_PROCESS_STATUS = 421


class TargetRequest:
    """One request, from its admission until it is answered, refused or cancelled.

    :param controller: the :class:`~camphorshelf_relay.admissioncontroller.AdmissionController`.
    :param loop: the node's loop.
    :param message: the :class:`~camphorshelf_core.messages.RelayMessage`.
    :param reply: called once with the message to send back, or with each of the messages of a
        streamed response.
    :param window: the :class:`~camphorshelf_core.creditwindows.SendWindow` of the response; None if
        it must not be streamed.
    """

    def __init__(self, controller, loop, message, reply, window=None):
        self._controller = controller
        self._loop = loop
        self._message = message
        self._reply = reply
        self._window = window
        self._body = None
        self._is_released = False
        # When the target got the last part of a body in parts. Until then it waits for the link.
        self._body_sent_at = None
        if isinstance(message.body, ArrivingBody):
            self.fingerprint = message.body.fingerprint
            message.body.on_read = self._on_body_read
        else:
            self.fingerprint = controller.crashes.fingerprint(message)
        self._arrived_at = loop.now()
        self._expires_at = self._arrived_at + message.remaining_s
        self._started_at = None
        self._slowness = 1.0
        self._process = None
        self._abort = None
        self._timer = None
        # The configuration in force at this node decides, not that of the entry node.
        self._organisation = (
            controller.header_codec.find_organisation(message.headers)
            if controller.admission.shares.is_enabled
            else ""
        )
        self._job = Job(
            message.priority,
            self._arrived_at + message.objective_s,
            self._expires_at,
            message.work_s,
            LatePolicy(message.late_policy),
            self._start,
            self._on_shed,
            self._organisation,
        )

    def offer(self):
        """Offer the request to the admission queue, which starts, queues or refuses it.

        :return: a function that cancels the request, or None if it has been refused already.
        """
        result = self._controller.admission.offer(self._job, self._arrived_at)
        if not result.admitted:
            self.send_refusal(Code.TARGET_BUSY, "no slot in time", Ran.NOT_RUN, result.wait_s)
            return None
        self._timer = self._loop.call_later(max(0.0, self._message.remaining_s), self._on_expiry)
        return self.cancel

    def cancel(self):
        """Cancel the request without a reply.

        :return: None.
        """
        if self._reply is None:
            return
        self._reply = None
        if self._body is not None:
            self._body.stop()
        if self._is_released:
            self._timer.cancel()
            return
        self._log_cancel()
        self._release()
        self._controller.count_outcome("cancelled")

    def send_refusal(self, code, reason, ran, wait_s=0.0, reached=False):
        """Reply with a refusal, instead of a response of the target.

        :param code: the :class:`~camphorshelf_core.errors.Code`.
        :param reason: one sentence.
        :param ran: whether the request was executed, a :class:`~camphorshelf_core.errors.Ran`.
        :param wait_s: the expected queueing delay, in seconds.
        :param reached: whether the request was sent to the target.
        :return: None.
        """
        reply, self._reply = self._reply, None
        if reply is None:
            return
        self._release()
        self._controller.count_outcome(code.name.lower())
        self._log_refusal(code, ran, wait_s)
        if self._body is not None:
            self._body.cut(reason)
            return
        reply(RelayRefusedMessage(0, int(code), reason, ran.value, wait_s, reached))

    def _log_refusal(self, code, ran, wait_s):
        controller = self._controller
        log = controller.log.routine if code is Code.TARGET_BUSY else controller.log.notable
        log(
            "turned_away" if self._started_at is None else "run_failed",
            request=self._message.request_id,
            code=code.name,
            ran=ran.value,
            wait_ms=round(wait_s * 1000, 1),
            running=controller.admission.running,
            queued=controller.admission.queued,
            limit=controller.admission.limit,
            slowness=controller.target.slowness,
            cold=controller.target.is_limited,
            rate_limit=controller.target.rate_limit_per_s,
            instance=controller.target.record.instance,
            held_ms=round((self._loop.now() - self._arrived_at) * 1000, 1),
            **self._share_fields(),
        )

    def _share_fields(self):
        if not self._organisation:
            return {}
        fields = {"organisation": self._organisation}
        if self._started_at is None:
            fields["displaced"] = self._job.is_displaced
        return fields

    def _log_cancel(self):
        # When the entry node cancels a request at its deadline, this line is the only trace of it
        # here. It shows which target had the request.
        now = self._loop.now()
        started_at = now if self._started_at is None else self._started_at
        target = self._controller.target
        self._controller.log.notable(
            "run_cancelled",
            request=self._message.request_id,
            waited_ms=round((started_at - self._arrived_at) * 1000, 1),
            ran_ms=round((now - started_at) * 1000, 1),
            slowness=target.slowness,
            instance=target.record.instance,
        )

    def _start(self):
        now = self._loop.now()
        remaining_s = self._expires_at - now
        target = self._controller.target
        self._started_at = now
        self._slowness = target.slowness
        self._process = target.record.process
        message = self._message
        headers = self._controller.header_codec.build_request(
            message.headers, remaining_s, target.record.instance, message.caller_service
        )
        body = message.body
        if not isinstance(body, ArrivingBody) and len(body) >= MIN_UPLOAD_BYTES:
            body = WholeBody(body)
        request = Request(message.method, message.path, headers, body)
        streaming = {} if self._window is None else {"on_head": self._on_head}
        self._abort = target.pool.send(
            request,
            message.request_id,
            message.idempotent,
            self._on_result,
            self._check_late_write,
            **streaming,
        )

    def _on_body_read(self):
        self._body_sent_at = self._loop.now()

    def _check_late_write(self):
        now = self._loop.now()
        if now - self._started_at <= _LATE_WRITE_SECONDS:
            return True
        if not self._controller.target.accepting:
            return False
        # If many connections open late at the same moment, a target with a limited rate would get a
        # full second's requests at once. Counting each delayed request again when it is written
        # holds back further starts.
        self._controller.admission.start_limits.record_start(now)
        return True

    def _on_head(self, streamed, connection):
        # Only the expected process is known to have run the request.
        if self._reply is None or streamed.metadata.instance != self._process[0]:
            return None
        head = streamed.head
        waited_s = self._started_at - self._arrived_at
        self._body = OutgoingBody(
            self._loop,
            self._reply,
            self._window,
            self._controller.chunk_bytes,
            self._controller.read_ahead,
            connection,
        )
        self._reply(
            RelayHeadMessage(0, head.status, head.headers, head.length, waited_s, self._slowness)
        )
        return self._body.write

    def _on_result(self, result):
        self._abort = None
        if self._reply is None:
            return
        if isinstance(result, TargetResponse):
            self._on_response(result)
        elif result.withdrawn:
            self.send_refusal(Code.NO_TARGET, result.reason, Ran.NOT_RUN)
        elif result.sent:
            self._controller.target.record_outcome(True)
            self._controller.target.record_connection_lost()
            if result.crashed:
                self._controller.crashes.record_connection_lost(self.fingerprint)
            self.send_refusal(Code.TARGET_LOST, result.reason, Ran.OUTCOME_UNKNOWN, reached=True)
        else:
            self._controller.target.record_unreachable()
            self.send_refusal(Code.TARGET_UNREACHABLE, result.reason, Ran.NOT_RUN)

    def _on_response(self, result):
        response, metadata, origin = result
        target = self._controller.target
        if response.status != _WRONG_PROCESS_STATUS:
            target.record_response(metadata, self._process, self._started_at)
        if metadata.not_run:
            self._on_not_run(response, metadata)
            return
        if metadata.falsely_implies_not_run:
            # The caller would take this status as a promise that the request did not run, and
            # would repeat a request that may have been executed.
            target.record_outcome(True)
            reason = f"the target answered {response.status} without saying that it did not run"
            self.send_refusal(Code.TARGET_LOST, reason, Ran.OUTCOME_UNKNOWN, reached=True)
            return
        now = self._loop.now()
        ran_s = now - (self._body_sent_at or self._started_at)
        if self._body is not None:
            # While its reader is slow, the target only waits.
            ran_s = max(0.0, ran_s - self._body.paused_s)
        target.record_outcome(response.status in FAILURE_STATUSES)
        self._controller.crashes.record_completed(self.fingerprint, self._started_at)
        if response.status < 300:
            slowness = max(0.1, (self._slowness + target.slowness) / 2)
            self._record_run_time(ran_s / slowness, now)
        waited_s = self._started_at - self._arrived_at
        self._controller.log.routine(
            "run_ended",
            request=self._message.request_id,
            status=response.status,
            waited_ms=round(waited_s * 1000, 1),
            ran_ms=round(ran_s * 1000, 1),
            slowness=self._slowness,
            instance=target.record.instance,
            **self._describe_body(response),
            **origin._asdict(),
        )
        self._release()
        self._controller.count_outcome("answered")
        self._controller.on_response(waited_s, ran_s)
        if self._body is not None:
            # The slot is free, but the caller may not have taken the rest of the body yet.
            left_s = max(0.0, self._expires_at - now)
            self._timer = self._loop.call_later(left_s, self._on_expiry)
            self._body.finish(ran_s, self._on_body_sent)
            return
        reply, self._reply = self._reply, None
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

    def _describe_body(self, response):
        if self._body is None:
            return {"bytes": len(response.body)}
        return {"bytes": self._body.size, "paused_ms": round(self._body.paused_s * 1000, 1)}

    def _on_body_sent(self):
        self._reply = None
        self._timer.cancel()

    def _record_run_time(self, seconds, now):
        admission = self._controller.admission
        before = admission.limit
        admission.record_run(self._job, seconds, now)
        if admission.limit != before:
            self._controller.log.notable(
                "limit_moved",
                before=before,
                limit=admission.limit,
                slots=admission.slots,
                instance=self._controller.target.record.instance,
            )

    def _on_not_run(self, response, metadata):
        target = self._controller.target
        if response.status == _WRONG_PROCESS_STATUS:
            target.record_other_process(metadata.instance)
            self.send_refusal(Code.NO_TARGET, "another process has the address", Ran.NOT_RUN)
            return
        target.record_outcome(True)
        self.send_refusal(
            Code.TARGET_SHED,
            "the target turned it away",
            Ran.NOT_RUN,
            reached=True,
        )

    def _on_shed(self, wait_s):
        reason = "the wait became too long"
        if self._job.is_displaced:
            reason = "its organisation is over its share"
        self.send_refusal(Code.TARGET_BUSY, reason, Ran.NOT_RUN, wait_s)

    def _on_expiry(self):
        self._timer = None
        if self._is_released:
            self._reply = None
            self._body.cut("its time passed before the caller had the body")
        elif self._started_at is None:
            self.send_refusal(
                Code.DEADLINE_UNREACHABLE, "its time passed in the queue", Ran.NOT_RUN
            )
        else:
            self.send_refusal(
                Code.DEADLINE_EXCEEDED,
                "its time passed",
                Ran.OUTCOME_UNKNOWN,
                reached=True,
            )

    def _release(self):
        if self._timer is not None:
            self._timer.cancel()
        if self._abort is not None:
            # Aborting closes the connection. The target then drops the work, and bytes that it
            # still sends can't be taken for the response to another request.
            self._abort()
            self._abort = None
        if self._is_released:
            return
        self._is_released = True
        if not self._controller.admission.cancel(self._job):
            self._controller.admission.finish(self._job, self._loop.now())
        self._controller.schedule_dispatch()
        self._controller.target.on_change()
