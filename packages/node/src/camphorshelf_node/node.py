"""One node: its loop, listeners, controllers and filter chain."""

import os
import random
import signal
from functools import partial

from circuits import Component, handler

from camphorshelf_core.attempts import AttemptRegistry
from camphorshelf_core.invariants import Invariants
from camphorshelf_core.messages import (
    CallMessage,
    ClaimStatusRequestMessage,
    SnapshotRequestMessage,
    TicketsRequestMessage,
    VersionRequestMessage,
)
from camphorshelf_core.settings import split_address
from camphorshelf_core.tickets import TicketStore

from .admin import AdminServer
from .claims import Claims, keyed_filter
from .config import Configuration
from .dispatch import Dispatcher
from .explain import Decisions
from .filters import (
    make_caller_filter,
    make_chain,
    make_deadline_filter,
    make_identity_filter,
)
from .admissioncontroller import AdmissionController
from .gossip import Gossip
from .join import Join
from .leavers import Leavers
from .links import make_call_handler
from .listeners import CallerListener, PeerListener, drain
from .load import LoadKeeper
from .log import Log
from .loop import Loop
from .metrics import Metrics
from .atmostonce import AtMostOnceGuard
from .operators import Operators
from .platform import Platform
from .quarantine import QuarantineController
from .roster import Roster
from .sensing import ProbeController
from .tickets import TicketDesk, TicketEntry
from .versionguard import guard_calls, make_call_id_filter, make_configuration_filter

_INCARNATION_BYTES = 8
_SECRET_BYTES = 16
_ENTRY_COUNTS = {
    "spills": "Calls that went on from a full target to another.",
    "retries": "Calls that were tried again after a failure.",
    "hedges": "Lookups that were asked of a second target as well.",
    "ejections": "Targets taken out for failing.",
    "probes": "Probes sent.",
    "probe_answers": "Peers' probes answered.",
    "probe_bytes": "Bytes charged for probes and answers, with IP and UDP headers.",
    "probe_microseconds": "Processor time charged for probes and answers.",
    "probes_denied": "Probes and answers left out as the budget was spent.",
    "probes_lost": "Probes without an answer.",
}


class Node(Component):
    """Everything that runs in one node process."""

    channel = "node"

    def __init__(self, settings, log_level="INFO"):
        super().__init__()
        self.settings = settings
        self.incarnation = os.urandom(_INCARNATION_BYTES).hex()
        self._loop = Loop().register(self)
        self._decisions = Decisions(settings.administration.decisions_kept)
        self._log = Log(settings.name, self._loop, log_level, self._decisions.note)
        self._loop.on_error = self._log.fault
        self._metrics = Metrics(self._loop)
        self._platform = Platform(self._loop, settings.platform)
        self._gossip = Gossip(self._loop, settings, self.incarnation)
        self._leavers = Leavers(self._loop, self._gossip, settings.name)
        self._configuration = Configuration(
            self._loop,
            settings,
            self.incarnation,
            self._platform,
            self._gossip,
            lambda address: self._router.link(address),
            self._log,
        )
        self._roster = Roster(self._gossip)
        self._join = Join(self._loop, settings, self._gossip, self._platform, self._log)
        self._quarantine = QuarantineController(self._loop, settings, self._gossip, self._log)
        self._gatekeeper = AdmissionController(
            self._loop, settings, self._log, random.Random(self.incarnation), self._quarantine
        )
        self._gatekeeper.on_leaving = self._leavers.publish_own
        self._invariants = Invariants()
        self._once = AtMostOnceGuard(self._loop, self._gatekeeper, AttemptRegistry(), self._invariants)
        self._tickets = TicketStore(
            settings.claims,
            settings.name,
            self.incarnation,
            os.urandom(_SECRET_BYTES),
            self._invariants,
        )
        self._desk = TicketDesk(self._loop, self._once, self._gatekeeper, self._tickets)
        self._peer_handlers = {
            CallMessage: guard_calls(
                make_call_handler(self._desk, self._log.fault),
                self._gatekeeper,
                self._configuration,
            ),
            VersionRequestMessage: self._configuration.answer_peer,
            TicketsRequestMessage: self._desk.answer_mint,
            SnapshotRequestMessage: self._join.answer_snapshot,
        }
        self._stopping = False
        chance = random.Random(self.incarnation)
        keeper = LoadKeeper(
            self._loop,
            settings,
            self._roster,
            self._configuration,
            self._gossip,
            self._leavers,
            chance,
        )
        self._probes = ProbeController(
            self._loop, settings, self._gossip, keeper, self._gatekeeper, chance
        )
        self._keeper = keeper
        self._router = Dispatcher(
            self._loop,
            settings,
            self.incarnation,
            keeper,
            self._once,
            self._probes,
            self._quarantine,
            self._log,
            chance,
            self._configuration,
        )
        self._claims = Claims(
            self._loop,
            settings,
            self._platform,
            self._router,
            self._gossip.membership.replica,
            self._invariants,
            random.Random(self.incarnation),
        )
        tickets = TicketEntry(
            self._loop,
            settings,
            self._router,
            self._roster,
            self._gossip.membership.replica,
            self._desk,
            random.Random(self.incarnation),
        )
        self._peer_handlers[ClaimStatusRequestMessage] = self._claims.answer_ask
        filters = (
            make_call_id_filter(self.incarnation),
            keyed_filter,
            make_configuration_filter(self._configuration),
            make_identity_filter(self._roster.knows),
            make_caller_filter(settings.gate),
            make_deadline_filter(settings.limits, self._loop),
            tickets.filter,
            self._claims.filter,
            self._quarantine.filter,
        )
        handle = make_chain(filters, self._router.dispatch)
        self._callers = CallerListener(
            self._loop, settings, handle, self._log.fault, self._metrics.note_answer
        )
        self._peers = PeerListener(self._loop, settings, self._peer_handlers)
        self._watch_gauges()
        operators = Operators(
            settings,
            self._configuration,
            self._platform,
            self._roster,
            self._keeper,
            self._decisions,
            self._quarantine,
        )
        self._admin = AdminServer(
            split_address(settings.listen.admin),
            self._loop,
            settings.administration,
            self,
            operators,
            self._log.fault,
        ).register(self)
        self._configuration.on_change(self._apply_configuration)
        self._configuration.on_change(self._keeper.take_configuration)

    @property
    def metrics(self):
        """The node's :class:`Metrics`."""
        return self._metrics

    @property
    def ready(self):
        """Whether callers should send requests here."""
        return self.find_unready_reason() is None

    def find_unready_reason(self):
        """Tell why callers should not send requests here.

        :return: a sentence, or None when they should.
        """
        if self._stopping:
            return "the node is stopping"
        if self._gossip.membership.superseded:
            return "another process of this node has been started"
        if not self._join.is_joined:
            return "the node has not found its peers yet"
        refusal = self._configuration.find_refusal()
        return None if refusal is None else refusal.reason

    @property
    def entry_counts(self):
        """What the entry side of this node has counted, by name."""
        sensing = self._probes.sensing
        return {
            **self._router.counts,
            "ejections": self._keeper.ejections,
            "probes": sensing.sent,
            "probe_answers": sensing.answered,
            "probe_bytes": sensing.spent_bytes,
            "probe_microseconds": sensing.spent_microseconds,
            "probes_denied": sensing.denied,
            "probes_lost": sensing.lost,
        }

    def _count(self, name):
        return self.entry_counts.get(name, 0)

    @property
    def gatekeeper(self):
        """The guard of the target beside this node."""
        return self._gatekeeper

    @property
    def quarantine(self):
        """What is known of requests that crash targets."""
        return self._quarantine

    def announce(self, target, instance=None, leaving=None):
        """Take an announcement of the target beside this node.

        :param target: the announcement.
        :param instance: names the target's process, where it says so.
        :param leaving: whether the target wants to leave, where it says so.
        :return: None.
        """
        if self._gatekeeper.announce(target, instance, leaving):
            self._apply_configuration()
            self._gossip.change_own(target=target)
            self._join.write_row()
            self._log.info(f"target announced: {target.service} at {target.address}")

    def _apply_configuration(self):
        target = self._gatekeeper.announcement
        if target is not None:
            leaving = self._configuration.is_leaving(
                target.service, self.settings.name, self.settings.failure_domain
            )
            self._gatekeeper.set_leaving(leaving)

    @handler("started", channel="*")
    def _on_started(self, _manager):
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        self._callers.start()
        self._peers.start()
        self._gossip.start()
        self._join.start()
        self._configuration.start()
        self._log.info(f"listening for callers on {self.settings.listen.callers}")

    def _on_signal(self, _number, _frame):
        # circuits would raise SystemExit in a handler here, which leaves its loop spinning
        # and deaf; the loop itself ends the node instead.
        if self._stopping:
            os._exit(1)
        self._stopping = True
        self._loop.call_from_signal(self._leave)

    def _leave(self):
        self._log.info("stopping: no new callers, waiting for what is in flight")
        self._gossip.leave()
        drain(self._loop, self._callers, self._peers, self._end)

    def _end(self):
        self._log.info("stopped: nothing is in flight")
        self.stop()

    def _watch_gauges(self):
        watch = self._metrics.watch
        for name, description in _ENTRY_COUNTS.items():
            watch(f"entry.{name}", description, partial(self._count, name))
        gatekeeper = self._gatekeeper
        held = self._configuration.held
        watch("config.version", "The configuration in force.", lambda: held.version)
        watch("config.violations", "Versions that two bodies claim.", lambda: held.violations)
        watch("config.rejected", "Bodies that were not what they claim.", lambda: held.rejected)
        watch("callers", "Callers' connections.", lambda: self._callers.connections)
        watch("peer.links", "Links that peers opened.", lambda: self._peers.links)
        gossip, membership = self._gossip, self._gossip.membership
        watch("gossip.sent_bytes", "Bytes sent to keep the roster.", lambda: gossip.sent_bytes)
        watch("gossip.received_bytes", "The same, received.", lambda: gossip.received_bytes)
        watch("gossip.dropped", "Datagrams over the budget.", lambda: membership.dropped_datagrams)
        watch("roster.members", "Members in use.", lambda: len(membership.members()))
        watch("roster.isolated", "1 while cut off from most.", lambda: int(membership.is_isolated))
        watch("roster.superseded", "1 once replaced.", lambda: int(membership.superseded))
        watch("target.in_flight", "Calls at the target.", lambda: gatekeeper.load.in_flight)
        watch("target.queued", "Calls that wait for a slot.", lambda: gatekeeper.load.queued)
        watch("target.slots", "Calls the target takes at once.", lambda: gatekeeper.load.slots)
        claims, broken = self._claims, self._invariants
        watch("claims.open", "Calls under keys under way.", lambda: claims.book.open_claims)
        watch("claims.answers", "Answers kept for resends.", lambda: len(claims.book.answers))
        watch("claims.marks", "Settled claims still to be marked.", lambda: claims.writer.marks)
        watch("tickets", "Tickets remembered.", lambda: len(self._tickets))
        watch("invariants.broken", "Broken invariants.", lambda: sum(broken.broken.values()))
