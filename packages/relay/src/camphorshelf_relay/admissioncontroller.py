"""Admission control at the local target: decides whether and when a request may run there."""

from camphorshelf_core.creditwindows import (
    WindowBudget,
    choose_node_bytes,
    choose_window_bytes,
    make_read_ahead_budget,
)
from camphorshelf_core.errors import Code, Ran
from camphorshelf_core.linkchunks import choose_chunks

from .targetrequest import TargetRequest

# A queue that waits for the limit of the start rate is checked this often, because the limit may be
# raised or end meanwhile.
_MAX_DISPATCH_DELAY_SECONDS = 0.1
# Shares are smoothed over this time, so a line each time shows all changes that last.
_SHARE_LOG_SECONDS = 5.0
# How many organisations a line or a scrape contains at most: those that demand most.
_MAX_LISTED_ORGANISATIONS = 20


class AdmissionController:
    """The single entry point for all requests to the local target.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param header_codec: the :class:`~camphorshelf_relay.settings.HeaderCodec`.
    :param admission: the :class:`~camphorshelf_core.admissionqueue.AdmissionQueue`.
    :param target: the :class:`~camphorshelf_relay.target.Target`.
    :param crashes: the :class:`~camphorshelf_relay.crashes.CrashTracker`.
    :param log: the :class:`~camphorshelf_relay.eventlog.EventLog`.
    :param memory_bytes: how many bytes from outside the node may hold; None if not limited.
    """

    def __init__(
        self, loop, settings, header_codec, admission, target, crashes, log, memory_bytes=None
    ):
        self._loop = loop
        self._settings = settings
        self.crashes = crashes
        self.header_codec = header_codec
        self.admission = admission
        self.target = target
        self.log = log
        self.read_ahead = make_read_ahead_budget(memory_bytes)
        # The windows of requests whose bodies arrive in parts.
        self.uploads = WindowBudget(
            choose_window_bytes(settings.link_mbps), choose_node_bytes(memory_bytes)
        )
        self.counts = {}
        self._dispatch_timer = None
        self._shutdown_at = None
        self._shares_logged_at = None
        # Called with the seconds that each answered request waited and ran.
        self.on_response = lambda waited_s, ran_s: None

    @property
    def chunk_bytes(self):
        """The size in which the bodies of streamed responses are sent."""
        return choose_chunks(self._settings.link_mbps).fragment_bytes

    def submit(self, message, reply, window=None):
        """Start, queue or refuse a request.

        :param message: the :class:`~camphorshelf_core.messages.RelayMessage`.
        :param reply: called once with a :class:`~camphorshelf_core.messages.RelayAnswerMessage` or
            a :class:`~camphorshelf_core.messages.RelayRefusedMessage`. With a window, it may be
            called with the messages of a streamed response instead.
        :param window: the :class:`~camphorshelf_core.creditwindows.SendWindow` of the response if
            it may be streamed.
        :return: a function that cancels the request, or None if it has been refused already.
        """
        request = TargetRequest(self, self._loop, message, reply, window)
        if not self.target.accepting or message.service != self._settings.service:
            request.send_refusal(Code.NO_TARGET, self.target.closed_reason, Ran.NOT_RUN)
            return None
        if (
            self._shutdown_at is not None
            and self._loop.now() + message.remaining_s > self._shutdown_at
        ):
            request.send_refusal(
                Code.NO_TARGET,
                "the node may end before the request",
                Ran.NOT_RUN,
            )
            return None
        if self.crashes.is_quarantined(request.fingerprint):
            request.send_refusal(
                Code.QUARANTINED,
                "targets crash under this request",
                Ran.NOT_RUN,
            )
            return None
        cancel = request.offer()
        if self.admission.shares.is_enabled and self.admission.queued:
            self._log_shares()
        self.schedule_dispatch()
        self.target.on_change()
        return cancel

    def list_shares(self):
        """List the shares of the organisations that demand most, a limited number.

        :return: a list of :class:`~camphorshelf_core.fairshares.OrganisationShare`.
        """
        return self.admission.shares.list_shares(_MAX_LISTED_ORGANISATIONS, self._loop.now())

    def set_shutdown_time(self, moment):
        """Refuse requests that don't run yet and whose deadline lies after the node's shutdown.

        :param moment: when the node shuts down, in seconds on the loop's clock.
        :return: None.
        """
        self._shutdown_at = moment
        self.admission.shed_outlasting(moment, self._loop.now())

    def schedule_dispatch(self):
        """Set a timer for the next queued request that waits only for the limit of the start rate.

        :return: None.
        """
        wait_s = self.admission.next_dispatch_s(self._loop.now())
        if wait_s is None or self._dispatch_timer is not None:
            return
        delay_s = min(wait_s, _MAX_DISPATCH_DELAY_SECONDS)
        self._dispatch_timer = self._loop.call_later(delay_s, self._on_dispatch_timer)

    def _on_dispatch_timer(self):
        self._dispatch_timer = None
        self.admission.dispatch(self._loop.now())
        self.schedule_dispatch()

    def _log_shares(self):
        now = self._loop.now()
        last = self._shares_logged_at
        if last is not None and now - last < _SHARE_LOG_SECONDS:
            return
        self._shares_logged_at = now
        self.log.notable(
            "shares",
            slots=self.admission.limit,
            organisations=len(self.admission.shares),
            displaced=self.admission.displaced_counts["share"],
            shares=[
                {
                    "organisation": one.organisation,
                    "demanded": round(one.demanded, 2),
                    "entitled": round(one.entitled, 2),
                    "served": round(one.served, 2),
                }
                for one in self.list_shares()
            ],
        )

    def count_outcome(self, outcome):
        """Count the outcome of a request.

        :param outcome: the outcome's name, used as a metric label.
        :return: None.
        """
        self.counts[outcome] = self.counts.get(outcome, 0) + 1
