"""One call at the target's node, from its arrival to its answer."""

import time

from camphorshelf_core.admission import PendingCall, classify_call
from camphorshelf_core.calls import Request, header
from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.service_times import kind_of

from .headers import with_deadline
from .httpclient import Failed
from .quarantine import SUSPECT_HEADER

_NOT_RUN = b"NOT_RUN"
_SERVER_ERRORS = 500
_UNAVAILABLE = 503
_LANE_SECONDS = 1.0


class Work:
    """Moves a call through the gate and gives its one answer."""

    def __init__(self, gatekeeper, loop, settings, call, on_done):
        self._gatekeeper = gatekeeper
        self._loop = loop
        self._settings = settings
        self._on_done = on_done
        self._abandon = None
        self._lane_timer = None
        self.call = call
        self.suspect = None
        self.left_lane = False
        self.started_at = None
        self.done = False
        caller = call.caller
        self.ticket = PendingCall(
            loop.now() + call.deadline_ms / 1000,
            self._start,
            self.refuse,
            classify_call(call.method),
            caller,
            settings.teams.get(caller, caller),
            kind_of(call.method, call.path),
        )

    @property
    def name(self):
        """The attempt's name for the log."""
        incarnation, number = self.call.attempt
        return f"{incarnation}-{number}"

    @property
    def waits(self):
        """Whether the call is in line for a slot."""
        return not self.done and self.ticket.started_at is None

    def refuse(self, refusal):
        """Give the final answer of a call that does not run.

        :param refusal: the :class:`Refusal`.
        :return: None.
        """
        if not self.done:
            self.end_lane_wait()
            self._gatekeeper.note_refused(self, refusal)
            self._answer(refusal)

    def refuse_suspect(self):
        """Refuse a suspect that cannot have its turn soon.

        :return: None.
        """
        reason = "another request under suspicion of crashing targets runs here"
        retry_after_ms = int(_LANE_SECONDS * 1000)
        self.refuse(Refusal(Code.SUSPECT_WAITING, reason, retry_after_ms=retry_after_ms))

    def wait_in_lane(self):
        """Wait for the suspect that runs, but not for long.

        :return: None.
        """
        wait = min(_LANE_SECONDS, max(0.0, self.ticket.deadline - self._loop.now()))
        self._lane_timer = self._loop.call_later(wait, self.refuse_suspect)

    def end_lane_wait(self):
        """Stop to wait for the suspect that runs.

        :return: None.
        """
        if self._lane_timer is not None:
            self._lane_timer.cancel()
            self._lane_timer = None

    def cancel(self):
        """Drop the call: nobody waits for its answer any more.

        :return: None.
        """
        if self.done:
            return
        self.done = True
        self.end_lane_wait()
        abandon, self._abandon = self._abandon, None
        if abandon is not None:
            if abandon():
                self._gatekeeper.crashes.record_abandoned(self.call)
        self._gatekeeper.cancel(self)

    def fail(self, blamed, reason):
        """Give the answer of a call whose connection was lost in the middle.

        :param blamed: whether the call may be why the target died.
        :param reason: what happened.
        :return: None.
        """
        if not self.done:
            code = Code.TARGET_CRASHED if blamed else Code.TARGET_LOST
            self._answer(Refusal(code, reason, Ran.OUTCOME_UNKNOWN))

    def _start(self):
        self.started_at = time.time()
        call = self.call
        left_ms = (self.ticket.deadline - self._loop.now()) * 1000
        headers = [pair for pair in call.headers if pair[0] != SUSPECT_HEADER]
        headers = with_deadline(headers, left_ms)
        request = Request(call.method, call.path, headers, call.body)
        self._abandon = self._gatekeeper.send(request, self._on_result, self._in_time)

    def _in_time(self):
        # A connection may have taken its time to open; this is the last moment to hold back.
        deadline = self.ticket.deadline
        return deadline > self._loop.now() and self._gatekeeper.may_start(self.call, deadline)

    def _on_result(self, result):
        self._abandon = None
        if isinstance(result, Failed):
            self._on_failed(result)
            return
        self._gatekeeper.finish(self, served=result.status < _SERVER_ERRORS)
        self._gatekeeper.note_clean(self)
        if result.status == _UNAVAILABLE:
            self._gatekeeper.note_shed()
            if self._says_not_run(result):
                self._answer(Refusal(Code.TARGET_SHED, "the target turned the call away"))
                return
        self._answer(result)

    def _on_failed(self, failed):
        self._gatekeeper.finish(self, served=False)
        reason = f"the target failed: {failed.reason}"
        if failed.sent:
            self._gatekeeper.crashes.record_lost(self, reason)
        elif self.ticket.deadline > self._loop.now():
            self._answer(Refusal(Code.TARGET_UNREACHABLE, reason))
        else:
            self._answer(Refusal(Code.DEADLINE_UNREACHABLE, reason))

    def _says_not_run(self, response):
        # A bare 503 proves nothing: the target may have failed after half the work. Only one
        # that says "not run" by the agreed header may be sent elsewhere.
        name = self._settings.not_run_header
        return name is not None and header(response.headers, name.encode()) == _NOT_RUN

    def _answer(self, result):
        self.done = True
        self._on_done(result, self._gatekeeper.load)
