"""One node: its loop, its listeners, its controllers, and how it stops."""

import gc
import os
import random
import signal
from typing import NamedTuple

from circuits import Component, handler

from camphorshelf_core.admissionqueue import AdmissionQueue
from camphorshelf_core.hosts import HostStatus, HostView
from camphorshelf_core.messages import ConfigRequestMessage
from camphorshelf_core.warmup import WarmUp
from camphorshelf_node.loop import Loop

from .configkeeper import ConfigKeeper
from .crashes import CrashWatch
from .discovery import Discovery
from .eventlog import EventLog
from .gate import Gate
from .listeners import (
    CallerListener,
    LinkListener,
    LiveLimits,
    make_link_handlers,
    serve_questions,
)
from .metrics import CONTENT_TYPE, Metrics
from .nodemetrics import NodeParts, watch_node
from .peers import Peers
from .router import Router
from .settings import Dialect
from .target import Target

# Callers are told to go elsewhere by two failed questions, a second apart; until then they still
# come, and are served.
_LEAVING_SECONDS = 2.6
# The target goes on without its node. It is sent work meanwhile, so that a rolling restart costs a
# service the time of a start and not that of a stop.
_TARGET_LEAVING_SECONDS = 2.0
# Ends itself so long before it would be killed, so that the last answers are out.
_SPARE_GRACE_SECONDS = 0.4
_STOP_POLL_SECONDS = 0.05
# Callers whose requests are under way get so long for their answers when the target's runs do not
# end.
_LAST_CALLERS_SECONDS = 1.0
# Short against the windows over which the settings' bounds hold.
_RELOAD_SECONDS = 3.0
# A node whose peers are all away is better than none.
_ALONE_SECONDS = 2.0
_YOUNG_OBJECTS = 10_000
_READY = (200, b'{"ready":true}')


class Ports(NamedTuple):
    """What the adapter provides: the store's client, and formats as plain functions.

    :param store: makes the store's client from a loop and its address.
    :param dialect: a :class:`~camphorshelf_relay.settings.Dialect`.
    :param readers: the :class:`~camphorshelf_relay.configkeeper.DocumentReaders`.
    :param document_table: the store's table that the document lies in.
    :param document_key: its key there.
    :param answer_target: takes a call of the target, the node's :class:`Target` and its log, and
        gives status and body.
    :param read_settings: reads the settings again; None when they are not good.
    """

    store: object
    dialect: Dialect
    readers: object
    document_table: str
    document_key: str
    answer_target: object
    read_settings: object


class Node(Component):
    """Everything that runs in one node process.

    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param ports: the :class:`Ports`.
    :param started_at: when the process started, on the loop's clock; None for now.
    """

    channel = "node"

    def __init__(self, settings, ports, started_at=None):
        super().__init__()
        self._settings = settings
        self._ports = ports
        self._random = random.Random(os.urandom(8))
        self._stopping = False
        loop = self._loop = Loop().register(self)
        log = self._log = EventLog(loop, settings.name)
        loop.on_error = log.fault
        self._started_at = loop.now()
        process_started_at = self._started_at if started_at is None else started_at
        self._admission = AdmissionQueue(warm_up=WarmUp(process_started_at))
        self._crashes = CrashWatch(loop, settings.name, log)
        self._peers = Peers(loop, settings, self._describe, log, self._random)
        self._target = Target(
            loop,
            settings,
            ports.dialect,
            self._admission,
            log,
            on_change=self._peers.tell,
            on_crash=self._crashes.note_crash,
        )
        self._gate = Gate(
            loop, settings, ports.dialect, self._admission, self._target, self._crashes, log
        )
        store = ports.store(loop, settings.addresses.store)
        self._config = ConfigKeeper(
            loop, settings, store, self._peers, ports.readers, self._random, log
        )
        self._discovery = Discovery(loop, settings, store, self._peers, self._random, log)
        self._discovery.on_done = self._config.begin_among
        self._router = Router(
            loop,
            settings,
            ports.dialect,
            self._config,
            self._peers,
            self._gate,
            self._own_view,
            self._random,
            log,
        )
        limits = LiveLimits(self._config)
        addresses = settings.addresses
        self._callers = CallerListener(
            loop,
            addresses.callers,
            limits,
            self._router.handle,
            log.fault,
            self._router.may_overlap,
        )
        handlers = make_link_handlers(
            loop, self._gate, log.fault, {ConfigRequestMessage: self._config.answer_peer}
        )
        self._links = LinkListener(loop, addresses.links, handlers)
        self._questions = (
            (addresses.readiness, self._answer_readiness),
            (addresses.heartbeats, self._answer_target),
        )
        self._limits = limits
        self._metrics = Metrics()
        parts = NodeParts(
            loop,
            self._target,
            self._admission,
            self._gate,
            self._router,
            self._peers,
            self._config,
            self._callers,
            store,
            log,
            lambda: self.ready,
        )
        watch_node(self._metrics, parts)
        self._peers.on_status = self._hear
        self._config.evacuations.on_change(self._on_evacuation)
        self._config.on_change(self._on_config)

    @property
    def ready(self):
        """Whether callers should come here."""
        if self._stopping or self._config.config is None:
            return False
        heard = bool(self._peers.directory.live(self._loop.now()))
        alone = self._loop.now() - self._started_at > _ALONE_SECONDS
        return self._discovery.done or heard or alone

    @handler("started", channel="*")
    def _on_started(self, _manager):
        signal.signal(signal.SIGTERM, self._on_sigterm)
        signal.signal(signal.SIGINT, self._on_sigterm)
        signal.signal(signal.SIGHUP, self._on_sighup)
        self._callers.start()
        self._links.start()
        for address, answer in self._questions:
            serve_questions(self._loop, address, self._limits, answer, self._log.fault)
        if self._settings.addresses.metrics is not None:
            self._serve_metrics()
        self._peers.start()
        self._config.start(self._ports.document_table, self._ports.document_key)
        self._discovery.start()
        # The file may change without a signal.
        self._loop.call_every(_RELOAD_SECONDS, lambda: self._reload(asked=False))
        self._log.notable("start", service=self._settings.service, domain=self._settings.domain)
        keep_libraries_out_of_collections()

    def _serve_metrics(self):
        def answer(_request):
            return 200, self._metrics.render()

        address = self._settings.addresses.metrics
        headers = (CONTENT_TYPE,)
        serve_questions(self._loop, address, self._limits, answer, self._log.fault, headers)

    def _describe(self):
        target, admission = self._target, self._admission
        record = target.record
        return HostStatus(
            host=self._settings.name,
            incarnation="",
            sequence=0,
            domain=self._settings.domain,
            address=self._settings.addresses.links.text,
            service=self._settings.service,
            instance=record.instance,
            accepting=target.accepting,
            warming_s=round(target.warming_s, 2),
            limit=admission.limit,
            running=admission.running,
            queued=admission.queued,
            slowness=target.slowness,
            work_s=round(admission.work_s, 4),
            failure_ratio=round(target.failing, 3),
            config_version=self._config.version,
            lacks_store_access=self._config.lacks_store_access,
            revision=0,
            push_interval_s=0.0,
            crashes=self._crashes.told,
            start_wait_s=round(admission.warm_up.wait_s(self._loop.now()), 3),
            evacuation_version=self._config.evacuations.held.changed_at,
        )

    def _hear(self, view, is_forwarded):
        self._config.hear(view, is_forwarded)
        self._crashes.hear(view.status.host, view.status.crashes)

    def _own_view(self):
        view = HostView()
        view.status = self._describe()
        view.heard_at = self._loop.now()
        return view

    def _on_config(self, config):
        self._target.configure(config.services.get(self._settings.service))
        self._peers.tell_version(self._config.reach)

    def _on_evacuation(self, reach):
        self._target.evacuate(self._settings.domain in self._config.evacuations.held.domains)
        self._peers.tell_version(reach)

    def _answer_readiness(self, _request):
        if self.ready:
            return _READY
        return 503, b'{"ready":false}'

    def _answer_target(self, request):
        return self._ports.answer_target(request, self._target, self._log)

    def _on_sighup(self, _number, _frame):
        self._loop.interrupt(self._reload)

    def _reload(self, asked=True):
        settings = self._ports.read_settings()
        if settings is None:
            self._log.notable("reload_failed")
            return
        before = self._settings
        if not asked and settings == before:
            return
        self._log.notable("reload", changed=settings != before)
        # A process keeps its sockets, its name and its target for its life; the bounds change.
        self._settings = settings._replace(
            name=before.name,
            domain=before.domain,
            service=before.service,
            addresses=before.addresses,
        )
        self._router.take_settings(self._settings)
        self._target.take_settings(self._settings)

    def _on_sigterm(self, _number, _frame):
        # circuits would raise SystemExit in a handler here, which leaves its loop spinning
        # and deaf; the loop itself ends the node instead.
        if not self._stopping:
            self._stopping = True
            self._loop.interrupt(self._leave)

    def _leave(self):
        self._log.notable(
            "stop", running=self._admission.running, callers=self._callers.connections
        )
        latest = self._loop.now() + self._settings.grace_s - _SPARE_GRACE_SECONDS
        self._gate.end_work_by(latest)
        self._loop.call_later(_TARGET_LEAVING_SECONDS, self._target.stop)
        self._loop.call_later(_LEAVING_SECONDS, lambda: self._finish_callers(latest))

    def _finish_callers(self, latest):
        # What runs at the target makes its own calls through this node.
        if self._admission.running and self._loop.now() < latest - _LAST_CALLERS_SECONDS:
            self._loop.call_later(_STOP_POLL_SECONDS, lambda: self._finish_callers(latest))
            return
        self._callers.finish()
        self._end_when_idle(latest)

    def _end_when_idle(self, latest):
        busy = self._callers.busy or self._links.busy or self._admission.running
        if busy and self._loop.now() < latest:
            self._loop.call_later(_STOP_POLL_SECONDS, lambda: self._end_when_idle(latest))
            return
        self._log.notable("stopped", idle=not busy)
        self._log.flush()
        self.stop()


def keep_libraries_out_of_collections():
    """Collect garbage from now on, and only among what is made from now on.

    What the libraries made at import lives as long as the process; looking through it at each full
    collection would stop every request for some 20 ms. The little garbage among it isn't worth the
    collection that finds it.

    :return: None.
    """
    gc.freeze()
    gc.set_threshold(_YOUNG_OBJECTS, 10, 10)
    gc.enable()
