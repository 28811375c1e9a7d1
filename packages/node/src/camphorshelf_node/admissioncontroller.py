"""Admits calls to the local target: counts its slots, queues calls and cancels them."""

from camphorshelf_core.admission import POLICIES, Gate
from camphorshelf_core.drain import Source
from camphorshelf_core.errors import Code, Refusal
from camphorshelf_core.isolation import SuspectLimiter
from camphorshelf_core.load import LoadReport
from camphorshelf_core.quarantine import Standing
from camphorshelf_core.settings import split_address
from camphorshelf_core.spill import can_start_within

from .crashes import CrashDetector
from .drain import Drainer
from .httpclient import HttpClient
from .localcall import LocalCall

_SMOOTHING = 0.1
_SPARE_CONNECTIONS = 2
_MIN_TIMER_SECONDS = 0.001


class AdmissionController:
    """Runs calls at the local target, the one that announced itself to this node.

    :param loop: the node's loop.
    :param settings: the node's :class:`~camphorshelf_core.settings.Settings`.
    :param log: the node's :class:`~camphorshelf_node.log.Log`.
    :param random: the source of random numbers.
    :param quarantine: the :class:`~camphorshelf_node.quarantine.QuarantineController`.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`, or None.
    """

    def __init__(self, loop, settings, log, random, quarantine, memory=None):
        self._memory = memory
        self._loop = loop
        self._settings = settings
        self._log = log
        self._quarantine = quarantine
        policy = POLICIES[settings.gate.policy]
        self._gate = Gate(0, random, policy, settings.gate.team_weights)
        self._suspect_limiter = SuspectLimiter()
        self._crashes = CrashDetector(loop, quarantine)
        self._drainer = Drainer(loop, settings.drain, self)
        self._client = None
        self._expiry_timer = None
        self._latency_ms = 0.0
        self.announcement = None
        # Called just before the first byte of a call is sent to the target; False fails the call.
        self.may_start = lambda call, deadline: True
        # Called with whether the target is leaving, after each change that may affect it.
        self.on_leaving = lambda leaving: None

    @property
    def load(self):
        """The current load report of the target."""
        gate = self._gate
        leaving = gate.closed is not None
        return LoadReport(
            gate.in_flight,
            gate.queued,
            gate.limit,
            round(self._latency_ms, 2),
            leaving,
            at_ms=int(self._loop.now() * 1000),
        )

    @property
    def gate(self):
        """The :class:`~camphorshelf_core.admission.Gate` that holds the slots and the queue."""
        return self._gate

    @property
    def log(self):
        """The node's log."""
        return self._log

    @property
    def phase(self):
        """The target's :class:`~camphorshelf_core.drain.Phase`."""
        return self._drainer.phase

    def announce(self, announcement, instance=None, leaving=None):
        """Apply an announcement of the local target.

        :param announcement: the :class:`~camphorshelf_core.roster.Announcement`.
        :param instance: an id of the target's process; None if the target did not send one.
        :param leaving: whether the target wants to leave; None if the target did not say.
        :return: whether the announcement differs from the previous one.
        """
        changed = announcement != self.announcement
        if changed:
            self._replace_target(announcement)
        self._drainer.record_announced(instance)
        if leaving is not None:
            self._drainer.set_leaving(Source.TARGET, leaving)
        return changed

    def set_leaving(self, leaving, source=Source.OPERATOR):
        """Record whether a source wants the target to leave; takes effect at once.

        :param leaving: True to leave, False to stay.
        :param source: the :class:`~camphorshelf_core.drain.Source` of the request.
        :return: None.
        """
        self._drainer.set_leaving(source, leaving)

    def update_gate(self):
        """Close the gate if the target has to leave, else open it.

        :return: None.
        """
        if self._drainer.closed:
            self._gate.close(Refusal(Code.TARGET_LEAVING, "the target is leaving"))
        else:
            self._gate.open()
        self.on_leaving(self._drainer.closed)

    def run(self, call, on_done):
        """Run a call at the target, or refuse it.

        :param call: a :class:`~camphorshelf_core.messages.CallMessage`.
        :param on_done: called with the response or refusal, and the load report.
        :return: a function that cancels the call.
        """
        local_call = LocalCall(self, self._loop, self._settings.gate, call, on_done)
        if self.announcement is None or self.announcement.service != call.service:
            local_call.refuse(Refusal(Code.NO_TARGET, "no such target beside this node"))
            return local_call.cancel
        standing, fingerprint = self._quarantine.check_call(call)
        if standing is Standing.REFUSED:
            local_call.refuse(self._quarantine.refusal(fingerprint))
        elif self._gate.closed is None and not can_start_within(self.load, call.longest_wait_ms):
            local_call.refuse(Refusal(Code.TARGET_BUSY, "no slot is free soon enough"))
        elif standing is Standing.SUSPECT:
            self._admit_suspect(local_call, fingerprint)
        else:
            self.offer(local_call)
        return local_call.cancel

    def offer(self, local_call):
        """Offer a call to the gate, which starts, queues or refuses it.

        :param local_call: the :class:`~camphorshelf_node.localcall.LocalCall`.
        :return: None.
        """
        self._gate.offer(local_call.pending_call, self._loop.now())
        if local_call.is_queued:
            gate = self._gate
            self._log.decision(
                "queue", call=local_call.attempt_name, in_flight=gate.in_flight, queued=gate.queued
            )
            self._schedule_expiry()

    def send(self, request, on_done, may_send):
        """Send a request to the target.

        :param request: the :class:`~camphorshelf_core.calls.Request`.
        :param on_done: called with the response or a
            :class:`~camphorshelf_node.httpclient.RequestFailure`.
        :param may_send: called just before the first byte is written; False fails the request.
        :return: a function that abandons the request and returns whether it may have run.
        """
        return self._client.send(request, on_done, may_send)

    def finish(self, local_call, served):
        """Release the slot of a call that ended.

        :param local_call: the :class:`~camphorshelf_node.localcall.LocalCall`.
        :param served: whether the call's duration counts as a measurement of the target's speed.
        :return: None.
        """
        now = self._loop.now()
        if served:
            milliseconds = (now - local_call.pending_call.started_at) * 1000
            self._latency_ms += _SMOOTHING * (milliseconds - self._latency_ms)
        self._gate.finish(local_call.pending_call, now, served)
        self._release_suspect(local_call)

    def cancel(self, local_call):
        """Remove a call that no caller waits for any more.

        :param local_call: the :class:`~camphorshelf_node.localcall.LocalCall`.
        :return: None.
        """
        if local_call.pending_call.offered_at is not None:
            self._gate.cancel(local_call.pending_call, self._loop.now())
        self._release_suspect(local_call)

    def record_refused(self, local_call, refusal):
        """Log a call that was not admitted.

        :param local_call: the :class:`~camphorshelf_node.localcall.LocalCall`.
        :param refusal: the :class:`~camphorshelf_core.errors.Refusal`.
        :return: None.
        """
        self._release_suspect(local_call)
        self._log.decision(
            "refuse",
            call=local_call.attempt_name,
            caller=local_call.pending_call.caller,
            code=refusal.code.name,
        )

    def record_shed(self):
        """Record that the target itself shed a call.

        :return: None.
        """
        self._gate.record_shed(self._loop.now())

    def record_completed(self, local_call):
        """Record that a call completed with a response.

        :param local_call: the :class:`~camphorshelf_node.localcall.LocalCall`.
        :return: None.
        """
        if local_call.suspect_fingerprint is not None:
            self._quarantine.record_completed(local_call.suspect_fingerprint, local_call.started_at)

    @property
    def crashes(self):
        """The :class:`~camphorshelf_node.crashes.CrashDetector`.

        It finds out for a lost connection whether the target crashed or only closed it.
        """
        return self._crashes

    def _replace_target(self, announcement):
        # The gate is resized and not replaced, as it counts the calls that still run. A new gate
        # would admit as many again, and the target would run twice as many calls as it has slots.
        if self._client is not None:
            self._client.close()
        self.announcement = announcement
        address = split_address(announcement.address)
        connections = announcement.slots + _SPARE_CONNECTIONS
        answer_bytes = self._settings.limits.answer_bytes
        self._client = HttpClient(self._loop, address, connections, answer_bytes, self._memory)
        self._crashes.address = address
        self._drainer.client = HttpClient(self._loop, address, 1, answer_bytes)
        self._gate.resize(announcement.slots, self._loop.now())

    def _admit_suspect(self, local_call, fingerprint):
        local_call.suspect_fingerprint = fingerprint
        let_in = self._suspect_limiter.acquire(local_call)
        self._log.decision(
            "suspect", call=local_call.attempt_name, fingerprint=fingerprint, let_in=let_in
        )
        if let_in:
            self.offer(local_call)
        elif let_in is None:
            local_call.refuse_suspect()
        else:
            local_call.wait_for_suspect()

    def _release_suspect(self, local_call):
        if local_call.suspect_fingerprint is None or local_call.released_suspect:
            return
        local_call.released_suspect = True
        next_suspect = self._suspect_limiter.release(local_call)
        if next_suspect is not None:
            next_suspect.stop_waiting_for_suspect()
            self._loop.call_later(0, lambda: self._retry_suspect(next_suspect))

    def _retry_suspect(self, local_call):
        if not local_call.done:
            standing, fingerprint = self._quarantine.check_call(local_call.call)
            if standing is Standing.REFUSED:
                local_call.refuse(self._quarantine.refusal(fingerprint))
            else:
                self.offer(local_call)

    def _schedule_expiry(self):
        if self._expiry_timer is not None:
            return
        due = self._gate.next_expiry()
        if due is not None:
            wait = max(_MIN_TIMER_SECONDS, due - self._loop.now())
            self._expiry_timer = self._loop.call_later(wait, self._on_expiry)

    def _on_expiry(self):
        self._expiry_timer = None
        self._gate.expire(self._loop.now())
        self._schedule_expiry()
