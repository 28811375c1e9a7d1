"""One node: its loop, listeners, controllers and filter chain."""

import os
import random
import signal

from circuits import Component, handler

from camphorshelf_core.messages import CallMessage, SnapshotRequestMessage, VersionRequestMessage
from camphorshelf_core.settings import split_address

from .admin import AdminServer
from .config import Configuration
from .dispatch import Dispatcher
from .explain import Decisions
from .filters import (
    make_chain,
    make_configuration_filter,
    make_deadline_filter,
    make_identity_filter,
)
from .gatekeeper import Gatekeeper
from .gossip import Gossip
from .http import HttpConnection
from .join import Join
from .links import PeerServer, make_call_handler
from .log import Log
from .loop import Loop
from .operators import NoQuarantine, Operators
from .platform import Platform
from .roster import Roster
from .streams import listen

_INCARNATION_BYTES = 8
_DRAIN_POLL_SECONDS = 0.02


class Node(Component):
    """Everything that runs in one node process."""

    channel = "node"

    def __init__(self, settings):
        super().__init__()
        self.settings = settings
        self.incarnation = os.urandom(_INCARNATION_BYTES).hex()
        self._loop = Loop().register(self)
        self._decisions = Decisions(settings.administration.decisions_kept)
        self._log = Log(settings.name, self._decisions)
        self._platform = Platform(self._loop, settings.platform)
        self._gossip = Gossip(self._loop, settings, self.incarnation)
        self._configuration = Configuration(
            self._loop,
            settings,
            self.incarnation,
            self._platform,
            self._gossip,
            lambda address: self._dispatcher.link(address),
            self._log,
        )
        self._roster = Roster(self._gossip, self._configuration)
        self._join = Join(self._loop, settings, self._gossip, self._platform, self._log)
        self._gatekeeper = Gatekeeper(self._loop, settings.limits)
        self._peer_handlers = {
            CallMessage: make_call_handler(self._gatekeeper, self._configuration),
            VersionRequestMessage: self._configuration.answer_peer,
            SnapshotRequestMessage: self._join.answer_snapshot,
        }
        self._connections = set()
        self._stopping = False
        self._dispatcher = Dispatcher(
            self._loop,
            settings,
            self.incarnation,
            self._roster,
            self._gatekeeper,
            self._log,
            random.Random(self.incarnation),
            self._configuration,
        )
        filters = (
            make_configuration_filter(self._configuration),
            make_identity_filter(self._roster.knows),
            make_deadline_filter(settings.limits, self._loop),
        )
        self._handle = make_chain(filters, self._dispatcher.dispatch)
        operators = Operators(
            settings,
            self._configuration,
            self._platform,
            self._roster,
            self._decisions,
            NoQuarantine(),
        )
        self._admin = AdminServer(
            split_address(settings.listen.admin),
            self._loop,
            settings.administration,
            self,
            operators,
        ).register(self)
        self._configuration.on_change(self._apply_configuration)

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
        if not self._join.is_joined:
            return "the node has not found its peers yet"
        refusal = self._configuration.find_refusal()
        return None if refusal is None else refusal.reason

    def note_error(self, error):
        """Write an error of a handler to the log.

        :param error: the exception.
        :return: None.
        """
        self._log.error(error)

    def announce(self, target):
        """Take an announcement of the target beside this node.

        :param target: the announcement.
        :return: None.
        """
        if self._gatekeeper.announce(target):
            self._apply_configuration()
            self._gossip.change_own(target=target)
            self._join.write_row()
            self._log.info(f"target announced: {target.service} at {target.address}")

    def _apply_configuration(self):
        target = self._gatekeeper.target
        if target is not None:
            leaving = self._configuration.is_leaving(target.service, self.settings.name)
            self._gatekeeper.set_leaving(leaving)

    @handler("started", channel="*")
    def _on_started(self, _manager):
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        listening = self.settings.listen
        self._close_callers = listen(self._loop, split_address(listening.callers), self._on_caller)
        self._close_peers = listen(
            self._loop,
            split_address(listening.peers),
            lambda stream, _peer: PeerServer(stream, self._peer_handlers),
        )
        self._gossip.start()
        self._join.start()
        self._configuration.start()
        self._log.info(f"listening for callers on {listening.callers}")

    def _on_caller(self, stream, _peer):
        connection = HttpConnection(stream, self.settings.limits, self._loop, self._handle)
        self._connections.add(connection)

    def _on_signal(self, _number, _frame):
        # circuits would raise SystemExit in a handler here, which leaves its loop spinning
        # and deaf; the loop itself ends the node instead.
        if self._stopping:
            os._exit(1)
        self._stopping = True
        self._loop.call_later(0, self._drain)
        self._loop.resume()

    def _drain(self):
        self._close_callers()
        if any(connection.busy for connection in self._connections):
            self._loop.call_later(_DRAIN_POLL_SECONDS, self._drain)
        else:
            self._gossip.leave()
            self.stop()
