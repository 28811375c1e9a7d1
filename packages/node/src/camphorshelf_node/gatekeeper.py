"""Guards the target beside the node: exact slots, queue, deadline and cancellation."""

from camphorshelf_core.admission import Gate, Ticket
from camphorshelf_core.calls import Request
from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.load import LoadReport
from camphorshelf_core.settings import split_address
from camphorshelf_core.spill import takes_now

from .httpclient import Failed, HttpClient

_SMOOTHING = 0.1
_QUEUE_PER_SLOT = 2
_SPARE_CONNECTIONS = 2


class Gatekeeper:
    """Runs calls at the target that announced itself to this node."""

    def __init__(self, loop, limits):
        self._loop = loop
        self._limits = limits
        self._gate = Gate(slots=0, queue_limit=0)
        self._client = None
        self._latency_ms = 0.0
        self._leaving = False
        self.target = None
        # Asked just before a call's first byte goes to the target.
        self.may_start = lambda call, deadline: True

    @property
    def load(self):
        """The load report of this moment."""
        gate = self._gate
        return LoadReport(
            gate.in_flight,
            gate.queued,
            gate.slots,
            round(self._latency_ms, 2),
            self._leaving,
            at_ms=int(self._loop.now() * 1000),
        )

    def announce(self, target):
        """Take note of the target that announced itself.

        :param target: a :class:`~camphorshelf_core.roster.Announcement`.
        :return: True when it is new or changed.
        """
        if target == self.target:
            return False
        self.target = target
        self._gate = Gate(target.slots, target.slots * _QUEUE_PER_SLOT)
        self._client = HttpClient(
            self._loop,
            split_address(target.address),
            target.slots + _SPARE_CONNECTIONS,
            self._limits.answer_bytes,
        )
        return True

    def set_leaving(self, leaving):
        """Close or open the door of the target for new calls.

        :param leaving: True to close it.
        :return: None.
        """
        self._leaving = leaving

    def run(self, call, on_done):
        """Run a call at the target, or refuse it.

        :param call: a :class:`~camphorshelf_core.messages.CallMessage`.
        :param on_done: takes the response or refusal, and the load report.
        :return: a function that cancels the call.
        """
        if self.target is None or self.target.service != call.service:
            refusal = Refusal(Code.NO_TARGET, "no such target beside this node")
            on_done(refusal, self.load)
            return lambda: None
        if self._leaving:
            on_done(Refusal(Code.TARGET_LEAVING, "the target is leaving"), self.load)
            return lambda: None
        if not takes_now(self.load, call.longest_wait_ms):
            on_done(Refusal(Code.TARGET_BUSY, "no slot is free soon enough"), self.load)
            return lambda: None
        work = _Work(self, self._gate, self._client, call, on_done)
        now = self._loop.now()
        work.deadline = now + call.deadline_ms / 1000
        ticket = Ticket(work.deadline, work.start, work.refuse)
        self._gate.offer(ticket, now)
        return work.cancel

    def note_latency(self, milliseconds):
        """Take a finished call's time into the smoothed latency.

        :param milliseconds: the time at the target.
        :return: None.
        """
        self._latency_ms += _SMOOTHING * (milliseconds - self._latency_ms)


class _Work:
    def __init__(self, gatekeeper, gate, client, call, on_done):
        self._gatekeeper = gatekeeper
        self._gate = gate
        self._client = client
        self._call = call
        self._on_done = on_done
        self._abandon = None
        self._cancelled = False
        self.deadline = None

    def start(self):
        if self._cancelled:
            self._gate.release(self._gatekeeper._loop.now())
            return
        call = self._call
        self._started = self._gatekeeper._loop.now()
        request = Request(call.method, call.path, call.headers, call.body)
        self._abandon = self._client.send(
            request, self._on_result, lambda: self._gatekeeper.may_start(call, self.deadline)
        )

    def refuse(self, refusal):
        if not self._cancelled:
            self._on_done(refusal, self._gatekeeper.load)

    def cancel(self):
        self._cancelled = True
        if self._abandon is not None:
            abandon, self._abandon = self._abandon, None
            abandon()
            self._gate.release(self._gatekeeper._loop.now())

    def _on_result(self, result):
        self._abandon = None
        now = self._gatekeeper._loop.now()
        self._gate.release(now)
        if isinstance(result, Failed):
            ran = Ran.OUTCOME_UNKNOWN if result.sent else Ran.NOT_RUN
            code = Code.TARGET_LOST if result.sent else Code.TARGET_UNREACHABLE
            result = Refusal(code, f"the target failed: {result.reason}", ran)
        else:
            self._gatekeeper.note_latency((now - self._started) * 1000)
        self._on_done(result, self._gatekeeper.load)
