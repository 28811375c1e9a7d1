"""Assembles a node: event loop, listeners, controllers and filter chain."""

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
from .admissioncontroller import AdmissionController
from .atmostonce import AtMostOnceGuard
from .claims import Claims, keyed_filter
from .config import Configuration
from .decisions import DecisionLog
from .dispatch import Dispatcher
from .filters import (
    make_caller_filter,
    make_chain,
    make_deadline_filter,
    make_service_filter,
)
from .gossip import Gossip
from .join import Join
from .leavingtargets import LeavingTargets
from .links import make_call_handler, make_call_refusal
from .listeners import CallerListener, PeerListener, drain
from .load import LoadTracker
from .log import Log
from .loop import Loop
from .memoryguard import MemoryGuard
from .metrics import Metrics
from .operators import Operators
from .platform import Platform
from .quarantine import QuarantineController
from .roster import Roster
from .sensing import ProbeController
from .tickets import TicketForwarder, TicketRunner
from .versionguard import guard_calls, make_call_id_filter, make_configuration_filter

_INCARNATION_BYTES = 8
_SECRET_BYTES = 16
_ENTRY_COUNT_DESCRIPTIONS = {
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
    """A node process.

    ``incarnation`` is a random identifier of the process: it changes with each restart.
    """

    channel = "node"

    def __init__(self, settings, log_level="INFO"):
        super().__init__()
        self.settings = settings
        self.incarnation = os.urandom(_INCARNATION_BYTES).hex()
        self._loop = Loop().register(self)
        self._decisions = DecisionLog(settings.administration.decisions_kept)
        self._log = Log(settings.name, self._loop, log_level, self._decisions.record)
        self._loop.on_error = self._log.fault
        self._metrics = Metrics(self._loop)
        self._memory = MemoryGuard(self._loop, self._log, settings.limits.memory_mb)
        self._platform = Platform(self._loop, settings.platform, self._memory)
        self._gossip = Gossip(self._loop, settings, self.incarnation)
        self._leaving_targets = LeavingTargets(self._loop, self._gossip, settings.name)
        self._configuration = Configuration(
            self._loop,
            settings,
            self.incarnation,
            self._platform,
            self._gossip,
            lambda address: self._call_dispatcher.link(address),
            self._log,
        )
        self._roster = Roster(self._gossip)
        self._join = Join(self._loop, settings, self._gossip, self._platform, self._log)
        self._quarantine = QuarantineController(self._loop, settings, self._gossip, self._log)
        self._admission_controller = AdmissionController(
            self._loop,
            settings,
            self._log,
            random.Random(self.incarnation),
            self._quarantine,
            self._memory,
        )
        self._admission_controller.on_leaving = self._leaving_targets.publish_own
        self._invariants = Invariants()
        self._at_most_once = AtMostOnceGuard(
            self._loop, self._admission_controller, AttemptRegistry(), self._invariants
        )
        self._ticket_store = TicketStore(
            settings.claims,
            settings.name,
            self.incarnation,
            os.urandom(_SECRET_BYTES),
            self._invariants,
        )
        self._ticket_runner = TicketRunner(
            self._loop, self._at_most_once, self._admission_controller, self._ticket_store
        )
        self._peer_handlers = {
            CallMessage: guard_calls(
                make_call_handler(self._ticket_runner, self._log.fault),
                self._admission_controller,
                self._configuration,
            ),
            VersionRequestMessage: self._configuration.answer_peer,
            TicketsRequestMessage: self._ticket_runner.answer_tickets_request,
            SnapshotRequestMessage: self._join.answer_snapshot,
        }
        self._stopping = False
        rng = random.Random(self.incarnation)
        load_tracker = LoadTracker(
            self._loop,
            settings,
            self._roster,
            self._configuration,
            self._gossip,
            self._leaving_targets,
            rng,
        )
        self._probes = ProbeController(
            self._loop, settings, self._gossip, load_tracker, self._admission_controller, rng
        )
        self._load_tracker = load_tracker
        self._call_dispatcher = Dispatcher(
            self._loop,
            settings,
            self.incarnation,
            load_tracker,
            self._at_most_once,
            self._probes,
            self._quarantine,
            self._log,
            rng,
            self._configuration,
            self._memory,
        )
        self._claims = Claims(
            self._loop,
            settings,
            self._platform,
            self._call_dispatcher,
            self._gossip.membership.replica,
            self._invariants,
            random.Random(self.incarnation),
        )
        ticket_forwarder = TicketForwarder(
            self._loop,
            settings,
            self._call_dispatcher,
            self._roster,
            self._gossip.membership.replica,
            self._ticket_runner,
            random.Random(self.incarnation),
        )
        self._peer_handlers[ClaimStatusRequestMessage] = self._claims.answer_status_request
        filters = (
            make_call_id_filter(self.incarnation),
            keyed_filter,
            make_configuration_filter(self._configuration),
            make_service_filter(self._roster.has_service),
            make_caller_filter(settings.gate),
            make_deadline_filter(settings.limits, self._loop),
            ticket_forwarder.filter,
            self._claims.filter,
            self._quarantine.filter,
        )
        handle_request = make_chain(filters, self._call_dispatcher.dispatch)
        self._callers = CallerListener(
            self._loop,
            settings,
            handle_request,
            self._log.fault,
            self._metrics.record_answer,
            self._memory,
        )
        self._peers = PeerListener(
            self._loop,
            settings,
            self._peer_handlers,
            self._memory,
            make_call_refusal(self._admission_controller),
        )
        self._add_gauges()
        operators = Operators(
            settings,
            self._configuration,
            self._platform,
            self._roster,
            self._load_tracker,
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
            self._memory,
        ).register(self)
        self._configuration.on_change(self._apply_configuration)
        self._configuration.on_change(self._load_tracker.apply_weights)

    @property
    def metrics(self):
        """The node's :class:`Metrics`."""
        return self._metrics

    @property
    def ready(self):
        """Whether callers should send requests to this node."""
        return self.find_unready_reason() is None

    def find_unready_reason(self):
        """Find the reason why callers should not send requests to this node.

        :return: a sentence, or None if the node is ready.
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
        """The counters of this node's entry side, by name."""
        scheduler = self._probes.scheduler
        return {
            **self._call_dispatcher.counts,
            "ejections": self._load_tracker.ejections,
            "probes": scheduler.sent,
            "probe_answers": scheduler.answered,
            "probe_bytes": scheduler.spent_bytes,
            "probe_microseconds": scheduler.spent_microseconds,
            "probes_denied": scheduler.denied,
            "probes_lost": scheduler.lost,
        }

    def _entry_count(self, name):
        return self.entry_counts.get(name, 0)

    @property
    def admission_controller(self):
        """The :class:`AdmissionController` of the target on this host."""
        return self._admission_controller

    @property
    def quarantine(self):
        """The :class:`QuarantineController`."""
        return self._quarantine

    def announce(self, target, instance=None, leaving=None):
        """Process an announcement of the target on this host.

        :param target: the :class:`~camphorshelf_core.roster.Announcement`.
        :param instance: an identifier of the target's process, or None if it sent none.
        :param leaving: whether the target wants to leave, or None if it doesn't say.
        :return: None.
        """
        if self._admission_controller.announce(target, instance, leaving):
            self._apply_configuration()
            self._gossip.change_own(target=target)
            self._join.write_row()
            self._log.info(f"target announced: {target.service} at {target.address}")

    def _apply_configuration(self):
        target = self._admission_controller.announcement
        if target is not None:
            leaving = self._configuration.is_leaving(
                target.service, self.settings.name, self.settings.failure_domain
            )
            self._admission_controller.set_leaving(leaving)

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
        # circuits would raise SystemExit in an event handler, after which its loop spins without
        # processing events. So the node is stopped by the loop itself.
        if self._stopping:
            os._exit(1)
        self._stopping = True
        self._loop.call_from_signal(self._begin_stop)

    def _begin_stop(self):
        self._log.info("stopping: no new connections are accepted, waiting for calls in flight")
        self._gossip.leave()
        drain(self._loop, self._callers, self._peers, self._finish_stop)

    def _finish_stop(self):
        self._log.info("stopped: no calls are in flight")
        self.stop()

    def _add_gauges(self):
        add_gauge = self._metrics.add_gauge
        for name, description in _ENTRY_COUNT_DESCRIPTIONS.items():
            add_gauge(f"entry.{name}", description, partial(self._entry_count, name))
        admission_controller = self._admission_controller
        local_version = self._configuration.local_version
        add_gauge("config.version", "The configuration in force.", lambda: local_version.version)
        add_gauge(
            "config.violations", "Versions that two bodies claim.", lambda: local_version.violations
        )
        add_gauge(
            "config.rejected",
            "Bodies that were not what they claim.",
            lambda: local_version.rejected,
        )
        memory = self._memory
        add_gauge(
            "connections.shed",
            "Connections closed or refused for lack of memory or descriptors.",
            lambda: memory.shed_count,
        )
        add_gauge("memory.held.bytes", "Bytes from outside held.", lambda: memory.held_bytes)
        add_gauge("memory.limit.bytes", "Bytes that may be held.", lambda: memory.limit_bytes)
        add_gauge("callers", "Callers' connections.", lambda: self._callers.connections)
        add_gauge("peer.links", "Links that peers opened.", lambda: self._peers.links)
        gossip, membership = self._gossip, self._gossip.membership
        add_gauge("gossip.sent_bytes", "Bytes sent to keep the roster.", lambda: gossip.sent_bytes)
        add_gauge("gossip.received_bytes", "The same, received.", lambda: gossip.received_bytes)
        add_gauge(
            "gossip.dropped", "Datagrams over the budget.", lambda: membership.dropped_datagrams
        )
        add_gauge("roster.members", "Members in use.", lambda: len(membership.members()))
        add_gauge(
            "roster.isolated", "1 while cut off from most.", lambda: int(membership.is_isolated)
        )
        add_gauge("roster.superseded", "1 once replaced.", lambda: int(membership.superseded))
        add_gauge(
            "target.in_flight", "Calls at the target.", lambda: admission_controller.load.in_flight
        )
        add_gauge(
            "target.queued", "Calls that wait for a slot.", lambda: admission_controller.load.queued
        )
        add_gauge(
            "target.slots",
            "Calls the target takes at once.",
            lambda: admission_controller.load.slots,
        )
        claims, invariants = self._claims, self._invariants
        add_gauge("claims.open", "Calls under keys under way.", lambda: claims.tracker.open_claims)
        add_gauge(
            "claims.answers", "Answers kept for resends.", lambda: len(claims.tracker.answers)
        )
        add_gauge("claims.marks", "Settled claims still to be marked.", lambda: claims.writer.marks)
        add_gauge("tickets", "Tickets remembered.", lambda: len(self._ticket_store))
        add_gauge(
            "invariants.broken", "Broken invariants.", lambda: sum(invariants.broken.values())
        )
