"""Guards the target beside the node: exact slots, queue, deadline and cancellation."""

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
from .work import Work

_SMOOTHING = 0.1
_SPARE_CONNECTIONS = 2
_LEAST_TIMER_SECONDS = 0.001


class Gatekeeper:
    """Runs calls at the target that announced itself to this node."""

    def __init__(self, loop, settings, log, random, quarantine):
        self._loop = loop
        self._settings = settings
        self._log = log
        self._quarantine = quarantine
        parts = POLICIES[settings.gate.policy]
        self._gate = Gate(0, random, parts, settings.gate.team_weights)
        self._lane = SuspectLimiter()
        self._crashes = CrashDetector(loop, quarantine)
        self._drainer = Drainer(loop, settings.drain, self)
        self._client = None
        self._expiry = None
        self._latency_ms = 0.0
        self.target = None
        # Asked just before a call's first byte goes to the target.
        self.may_start = lambda call, deadline: True
        # Told whether the target leaves, at each change of who wants that.
        self.on_leaving = lambda leaving: None

    @property
    def load(self):
        """The load report of this moment."""
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
        """The exact counts, for metrics."""
        return self._gate

    @property
    def log(self):
        """The node's log."""
        return self._log

    @property
    def phase(self):
        """Where the target stands, a :class:`~camphorshelf_core.drain.Phase`."""
        return self._drainer.phase

    def announce(self, target, instance=None, leaving=None):
        """Take note of the target that announced itself.

        :param target: a :class:`~camphorshelf_core.roster.Announcement`.
        :param instance: names the target's process, where it says so.
        :param leaving: whether the target wants to leave, where it says so.
        :return: True when it is new or changed.
        """
        changed = target != self.target
        if changed:
            self._replace_target(target)
        self._drainer.note_announced(instance)
        if leaving is not None:
            self._drainer.wish(Source.TARGET, leaving)
        return changed

    def set_leaving(self, leaving, source=Source.OPERATOR):
        """Take or give back the wish that the target leaves; in force when this returns.

        :param leaving: True to leave, False to stay.
        :param source: who wants it.
        :return: None.
        """
        self._drainer.wish(source, leaving)

    def apply(self):
        """Close or open the gate by what is wanted now.

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
        :param on_done: takes the response or refusal, and the load report.
        :return: a function that cancels the call.
        """
        work = Work(self, self._loop, self._settings.gate, call, on_done)
        if self.target is None or self.target.service != call.service:
            work.refuse(Refusal(Code.NO_TARGET, "no such target beside this node"))
            return work.cancel
        standing, name = self._quarantine.check_call(call)
        if standing is Standing.REFUSED:
            work.refuse(self._quarantine.refusal(name))
        elif self._gate.closed is None and not can_start_within(self.load, call.longest_wait_ms):
            work.refuse(Refusal(Code.TARGET_BUSY, "no slot is free soon enough"))
        elif standing is Standing.SUSPECT:
            self._isolate(work, name)
        else:
            self.offer(work)
        return work.cancel

    def offer(self, work):
        """Put a call before the gate.

        :param work: the :class:`Work`.
        :return: None.
        """
        self._gate.offer(work.ticket, self._loop.now())
        if work.waits:
            gate = self._gate
            self._log.decision(
                "queue", call=work.name, in_flight=gate.in_flight, queued=gate.queued
            )
            self._arm()

    def send(self, request, on_done, may_send):
        """Send a request to the target.

        :param request: the request.
        :param on_done: takes the response or what failed.
        :param may_send: asked just before the first byte is written.
        :return: a function that abandons the request.
        """
        return self._client.send(request, on_done, may_send)

    def finish(self, work, served):
        """Take back the slot of a call that ended.

        :param work: the :class:`Work`.
        :param served: whether its time says how fast the target is.
        :return: None.
        """
        now = self._loop.now()
        if served:
            milliseconds = (now - work.ticket.started_at) * 1000
            self._latency_ms += _SMOOTHING * (milliseconds - self._latency_ms)
        self._gate.finish(work.ticket, now, served)
        self._leave_lane(work)

    def cancel(self, work):
        """Take out a call that nobody waits for any more.

        :param work: the :class:`Work`.
        :return: None.
        """
        if work.ticket.offered_at is not None:
            self._gate.cancel(work.ticket, self._loop.now())
        self._leave_lane(work)

    def note_refused(self, work, refusal):
        """Log a call that did not get in.

        :param work: the :class:`Work`.
        :param refusal: the :class:`Refusal`.
        :return: None.
        """
        self._leave_lane(work)
        self._log.decision(
            "refuse", call=work.name, caller=work.ticket.caller, code=refusal.code.name
        )

    def note_shed(self):
        """Take note that the target itself turned a call away.

        :return: None.
        """
        self._gate.record_shed(self._loop.now())

    def note_clean(self, work):
        """Take note that a call ran to its answer.

        :param work: the :class:`Work`.
        :return: None.
        """
        if work.suspect is not None:
            self._quarantine.record_completed(work.suspect, work.started_at)

    @property
    def crashes(self):
        """Tells lost answers of a crashed target from those cut short."""
        return self._crashes

    def _replace_target(self, target):
        # Calls that still run were counted by this gate and go on to be: a new gate beside
        # them would let in as many again, and the target would hold twice its slots.
        if self._client is not None:
            self._client.close()
        self.target = target
        address = split_address(target.address)
        connections = target.slots + _SPARE_CONNECTIONS
        answer_bytes = self._settings.limits.answer_bytes
        self._client = HttpClient(self._loop, address, connections, answer_bytes)
        self._crashes.address = address
        self._drainer.client = HttpClient(self._loop, address, 1, answer_bytes)
        self._gate.resize(target.slots, self._loop.now())

    def _isolate(self, work, name):
        work.suspect = name
        let_in = self._lane.acquire(work)
        self._log.decision("suspect", call=work.name, fingerprint=name, let_in=let_in)
        if let_in:
            self.offer(work)
        elif let_in is None:
            work.refuse_suspect()
        else:
            work.wait_in_lane()

    def _leave_lane(self, work):
        if work.suspect is None or work.left_lane:
            return
        work.left_lane = True
        following = self._lane.release(work)
        if following is not None:
            following.end_lane_wait()
            self._loop.call_later(0, lambda: self._offer_suspect(following))

    def _offer_suspect(self, work):
        if not work.done:
            standing, name = self._quarantine.check_call(work.call)
            if standing is Standing.REFUSED:
                work.refuse(self._quarantine.refusal(name))
            else:
                self.offer(work)

    def _arm(self):
        if self._expiry is not None:
            return
        due = self._gate.next_expiry()
        if due is not None:
            wait = max(_LEAST_TIMER_SECONDS, due - self._loop.now())
            self._expiry = self._loop.call_later(wait, self._on_expiry)

    def _on_expiry(self):
        self._expiry = None
        self._gate.expire(self._loop.now())
        self._arm()
