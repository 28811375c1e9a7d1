"""One call at the node of its target, from its arrival to its result."""

import time

from camphorshelf_core.admission import PendingCall, classify_call
from camphorshelf_core.calls import Request, header
from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.service_times import kind_of

from .headers import with_deadline
from .httpclient import RequestFailure
from .quarantine import SUSPECT_HEADER

_NOT_RUN_VALUE = b"NOT_RUN"
_MIN_SERVER_ERROR_STATUS = 500
_UNAVAILABLE_STATUS = 503
_SUSPECT_WAIT_SECONDS = 1.0


class LocalCall:
    """Takes a call through admission and execution, and reports exactly one result."""

    def __init__(self, admission_controller, loop, settings, call, on_done):
        self._admission_controller = admission_controller
        self._loop = loop
        self._settings = settings
        self._on_done = on_done
        self._abandon = None
        self._suspect_timer = None
        self.call = call
        self.suspect_fingerprint = None
        self.released_suspect = False
        self.started_at = None
        self.done = False
        caller = call.caller
        self.pending_call = PendingCall(
            loop.now() + call.deadline_ms / 1000,
            self._start,
            self.refuse,
            classify_call(call.method),
            caller,
            settings.teams.get(caller, caller),
            kind_of(call.method, call.path),
        )

    @property
    def attempt_name(self):
        """The attempt's id as text, for the log."""
        incarnation, number = self.call.attempt
        return f"{incarnation}-{number}"

    @property
    def is_queued(self):
        """Whether the call waits for a slot."""
        return not self.done and self.pending_call.started_at is None

    def refuse(self, refusal):
        """End the call with a refusal, unless it is done.

        :param refusal: the :class:`~camphorshelf_core.errors.Refusal`.
        :return: None.
        """
        if not self.done:
            self.stop_waiting_for_suspect()
            self._admission_controller.record_refused(self, refusal)
            self._answer(refusal)

    def refuse_suspect(self):
        """Refuse this suspect: another one is running, and the queue is full or the wait timed out.

        :return: None.
        """
        reason = "another request under suspicion of crashing targets runs here"
        retry_after_ms = int(_SUSPECT_WAIT_SECONDS * 1000)
        self.refuse(Refusal(Code.SUSPECT_WAITING, reason, retry_after_ms=retry_after_ms))

    def wait_for_suspect(self):
        """Wait for the running suspect to end, at most until a timeout or the call's deadline.

        :return: None.
        """
        wait = min(_SUSPECT_WAIT_SECONDS, max(0.0, self.pending_call.deadline - self._loop.now()))
        self._suspect_timer = self._loop.call_later(wait, self.refuse_suspect)

    def stop_waiting_for_suspect(self):
        """Cancel the timeout for the running suspect.

        :return: None.
        """
        if self._suspect_timer is not None:
            self._suspect_timer.cancel()
            self._suspect_timer = None

    def cancel(self):
        """Cancel the call, as no caller waits for its result any more.

        :return: None.
        """
        if self.done:
            return
        self.done = True
        self.stop_waiting_for_suspect()
        abandon, self._abandon = self._abandon, None
        if abandon is not None:
            if abandon():
                self._admission_controller.crashes.record_abandoned(self.call)
        self._admission_controller.cancel(self)

    def fail(self, blamed, reason):
        """End a call whose connection was lost before the response was complete.

        :param blamed: whether the call may have crashed the target.
        :param reason: the failure as text.
        :return: None.
        """
        if not self.done:
            code = Code.TARGET_CRASHED if blamed else Code.TARGET_LOST
            self._answer(Refusal(code, reason, Ran.OUTCOME_UNKNOWN))

    def _start(self):
        self.started_at = time.time()
        call = self.call
        remaining_ms = (self.pending_call.deadline - self._loop.now()) * 1000
        headers = [pair for pair in call.headers if pair[0] != SUSPECT_HEADER]
        headers = with_deadline(headers, remaining_ms)
        request = Request(call.method, call.path, headers, call.body)
        self._abandon = self._admission_controller.send(request, self._on_result, self._may_send)

    def _may_send(self):
        # The connection may have taken long to open; this is the last moment to withhold the call.
        deadline = self.pending_call.deadline
        return deadline > self._loop.now() and self._admission_controller.may_start(
            self.call, deadline
        )

    def _on_result(self, result):
        self._abandon = None
        if isinstance(result, RequestFailure):
            self._on_failure(result)
            return
        self._admission_controller.finish(self, served=result.status < _MIN_SERVER_ERROR_STATUS)
        self._admission_controller.record_completed(self)
        if result.status == _UNAVAILABLE_STATUS:
            self._admission_controller.record_shed()
            if self._says_not_run(result):
                self._answer(Refusal(Code.TARGET_SHED, "the target turned the call away"))
                return
        self._answer(result)

    def _on_failure(self, failure):
        self._admission_controller.finish(self, served=False)
        reason = f"the target failed: {failure.reason}"
        if failure.sent:
            self._admission_controller.crashes.record_lost(self, reason)
        elif self.pending_call.deadline > self._loop.now():
            self._answer(Refusal(Code.TARGET_UNREACHABLE, reason))
        else:
            self._answer(Refusal(Code.DEADLINE_UNREACHABLE, reason))

    def _says_not_run(self, response):
        # The status 503 alone does not prove that the call did not run: the target may have failed
        # halfway. Only if the configured header says so may the call be sent elsewhere.
        name = self._settings.not_run_header
        return name is not None and header(response.headers, name.encode()) == _NOT_RUN_VALUE

    def _answer(self, result):
        self.done = True
        self._on_done(result, self._admission_controller.load)
