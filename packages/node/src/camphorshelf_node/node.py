"""One node: its loop, listeners, controllers and filter chain."""

import os
import random
import signal

from circuits import Component, handler

from camphorshelf_core.messages import CallMessage, SnapshotRequestMessage
from camphorshelf_core.settings import split_address

from .admin import AdminServer
from .dispatch import Dispatcher
from .filters import (
    make_caller_filter,
    make_chain,
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
from .platform import Platform
from .quarantine import QuarantineController
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
        self._log = Log(settings.name)
        self._platform = Platform(self._loop, settings.platform)
        self._gossip = Gossip(self._loop, settings, self.incarnation)
        self._roster = Roster(self._gossip)
        self._join = Join(self._loop, settings, self._gossip, self._platform, self._log)
        self._quarantine = QuarantineController(self._loop, settings, self._gossip, self._log)
        self._gatekeeper = Gatekeeper(
            self._loop, settings, self._log, random.Random(self.incarnation), self._quarantine
        )
        self._peer_handlers = {
            CallMessage: make_call_handler(self._gatekeeper),
            SnapshotRequestMessage: self._join.answer_snapshot,
        }
        self._connections = set()
        self._stopping = False
        dispatcher = Dispatcher(
            self._loop,
            settings,
            self.incarnation,
            self._roster,
            self._gatekeeper,
            self._quarantine,
            self._log,
            random.Random(self.incarnation),
        )
        filters = (
            make_identity_filter(self._roster.knows),
            make_caller_filter(settings.gate),
            make_deadline_filter(settings.limits, self._loop),
            self._quarantine.filter,
        )
        self._handle = make_chain(filters, dispatcher.dispatch)
        self._admin = AdminServer(split_address(settings.listen.admin), self).register(self)

    @property
    def ready(self):
        """Whether callers should send requests here."""
        return self._join.is_joined and not self._stopping

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
            self._gossip.change_own(target=target)
            self._join.write_row()
            self._log.info(f"target announced: {target.service} at {target.address}")

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
        self._log.info(f"listening for callers on {listening.callers}")

    def _on_caller(self, stream, peer):
        connection = HttpConnection(stream, self.settings.limits, self._loop, self._handle)
        connection.peer = peer[0]
        self._connections.add(connection)

    def _on_signal(self, _number, _frame):
        # circuits would raise SystemExit in a handler here, which leaves its loop spinning
        # and deaf; the loop itself ends the node instead.
        if self._stopping:
            os._exit(1)
        self._stopping = True
        self._loop.call_later(0, self._gatekeeper.stop)
        self._loop.call_later(0, self._drain)
        self._loop.resume()

    def _drain(self):
        self._close_callers()
        # Calls from other nodes are in flight here too; ending now would cut them off.
        busy = self._gatekeeper.busy
        if busy or any(connection.busy for connection in self._connections):
            self._loop.call_later(_DRAIN_POLL_SECONDS, self._drain)
        else:
            self._gossip.leave()
            self.stop()
