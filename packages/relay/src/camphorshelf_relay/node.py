"""One node process: creates its components, and starts, reloads and stops them."""

import gc
import os
import random
import signal
from typing import NamedTuple

from circuits import Component, handler

from camphorshelf_core.admissionqueue import AdmissionQueue
from camphorshelf_core.descriptors import divide_descriptors
from camphorshelf_core.fairshares import find_weights
from camphorshelf_core.hosts import HostStatus, HostView
from camphorshelf_core.linkchunks import choose_chunks
from camphorshelf_core.linkpacing import FAST_LINK_MBPS
from camphorshelf_core.messages import ConfigRequestMessage
from camphorshelf_core.ratelimit import RateLimit
from camphorshelf_core.shutdown import plan_shutdown
from camphorshelf_core.startlimits import StartLimits
from camphorshelf_core.warmup import WarmUp
from camphorshelf_node.delivery import wait_for_delivery
from camphorshelf_node.fragmentpacer import FragmentPacer
from camphorshelf_node.loop import Loop
from camphorshelf_node.memoryguard import MemoryGuard

from .admissioncontroller import AdmissionController
from .configsync import ConfigSynchronizer
from .crashes import CrashTracker
from .discovery import Discovery
from .eventlog import EventLog
from .listeners import (
    CallerListener,
    CurrentLimits,
    HttpEndpoint,
    LinkListener,
    make_link_handlers,
    serve_http,
)
from .metrics import CONTENT_TYPE, Metrics
from .nodemetrics import MetricSources, register_node_metrics
from .peers import Peers
from .quotas import Quotas
from .router import Router
from .settings import HeaderCodec
from .storecontacts import StoreContacts
from .target import Target

_STOP_POLL_SECONDS = 0.05
# How often the settings file is read again; short compared with the time windows of the limits in
# it.
_RELOAD_SECONDS = 3.0
# A node without any reachable peer reports that it is ready after this time, because one node is
# better than none.
_ALONE_SECONDS = 2.0
_GC_THRESHOLD_OBJECTS = 10_000
_READY = (200, b'{"ready":true}')


class PlatformAdapter(NamedTuple):
    """Factories and functions that connect a node to the platform's interfaces.

    :param store: creates the store's client from a loop and an address.
    :param header_codec: a :class:`~camphorshelf_relay.settings.HeaderCodec`.
    :param readers: the :class:`~camphorshelf_relay.configsync.DocumentReaders`.
    :param document_table: the store's table that holds the configuration document.
    :param document_key: the key of the document in that table.
    :param answer_target: takes a :class:`~camphorshelf_core.calls.Request` of the target, the
        node's :class:`Target` and its log, and returns the status and the body of the response.
    :param read_settings: reads the settings file again; returns None if it is invalid.
    """

    store: object
    header_codec: HeaderCodec
    readers: object
    document_table: str
    document_key: str
    answer_target: object
    read_settings: object


class Node(Component):
    """The component that owns all others of a node process.

    :param settings: the :class:`~camphorshelf_relay.settings.NodeSettings`.
    :param platform: the :class:`PlatformAdapter`.
    :param started_at: when the process started, in seconds on the loop's clock; None for now.
    """

    channel = "node"

    def __init__(self, settings, platform, started_at=None):
        super().__init__()
        self._settings = settings
        self._platform = platform
        self._random = random.Random(os.urandom(8))
        self._stopping = False
        self._sigterm_at = None
        loop = self._loop = Loop().register(self)
        log = self._log = EventLog(loop, settings.name)
        loop.on_error = log.fault
        self._started_at = loop.now()
        process_started_at = self._started_at if started_at is None else started_at
        rate_limit = RateLimit(process_started_at, is_known=False)
        start_limits = StartLimits(WarmUp(process_started_at), rate_limit)
        self._admission = AdmissionQueue(start_limits=start_limits)
        self._crashes = CrashTracker(loop, settings.name, log)
        memory = self._memory = MemoryGuard(loop, log, settings.memory_mb)
        self._peers = Peers(loop, settings, self._own_status, log, self._random, memory)
        self._target = Target(
            loop,
            settings,
            platform.header_codec,
            self._admission,
            log,
            on_change=self._peers.announce_changes,
            on_crash=self._crashes.record_crash,
            memory=memory,
        )
        self._admission_controller = AdmissionController(
            loop,
            settings,
            platform.header_codec,
            self._admission,
            self._target,
            self._crashes,
            log,
            memory.limit_bytes,
        )
        store = platform.store(loop, settings.addresses.store, memory)
        self._config_sync = ConfigSynchronizer(
            loop, settings, store, self._peers, platform.readers, self._random, log
        )
        self._discovery = Discovery(loop, settings, store, self._peers, self._random, log)
        self._discovery.on_done = self._config_sync.start_if_default_poller
        self._router = Router(
            loop,
            settings,
            platform.header_codec,
            self._config_sync,
            self._peers,
            self._admission_controller,
            self._own_view,
            self._random,
            log,
            memory.limit_bytes,
        )
        self._contacts = StoreContacts(loop, settings, self._peers, self._config_sync, self._random)
        self._router.is_config_stale = self._contacts.is_stale
        self._router.quotas = Quotas(
            loop,
            settings.addresses.links.text,
            self._peers,
            self._config_sync,
            self._random,
            log,
        )
        limits = CurrentLimits(self._config_sync)
        addresses = settings.addresses
        listener_limits = divide_descriptors(settings.max_fds)
        self._callers = CallerListener(
            loop,
            addresses.callers,
            limits,
            self._router.handle,
            log.fault,
            memory,
            listener_limits.callers,
            self._router.may_overlap,
        )
        handlers = make_link_handlers(
            loop,
            self._admission_controller,
            log.fault,
            {ConfigRequestMessage: self._config_sync.answer_peer},
        )
        self._links = LinkListener(
            loop,
            addresses.links,
            handlers,
            choose_chunks(settings.link_mbps),
            memory,
            listener_limits.links,
            _make_pacer(loop, settings.link_mbps),
        )
        self._http_endpoints = (
            HttpEndpoint(
                "readiness", addresses.readiness, self._answer_readiness, listener_limits.readiness
            ),
            HttpEndpoint(
                "heartbeats", addresses.heartbeats, self._answer_target, listener_limits.heartbeats
            ),
            HttpEndpoint(
                "metrics",
                addresses.metrics,
                lambda _request: (200, self._metrics.render()),
                listener_limits.metrics,
                (CONTENT_TYPE,),
            ),
        )
        self._limits = limits
        self._metrics = Metrics()
        sources = MetricSources(
            loop,
            self._target,
            self._admission,
            self._admission_controller,
            self._router,
            self._peers,
            self._config_sync,
            self._contacts,
            self._callers,
            store,
            log,
            lambda: self.ready,
            memory,
        )
        register_node_metrics(self._metrics, sources)
        self._peers.on_status = self._on_peer_status
        self._config_sync.evacuations.on_change(self._on_evacuation)
        self._config_sync.on_change(self._on_config)

    @property
    def ready(self):
        """Whether callers should send requests to this node."""
        if self._stopping or self._config_sync.config is None:
            return False
        has_peers = bool(self._peers.directory.live(self._loop.now()))
        has_waited = self._loop.now() - self._started_at > _ALONE_SECONDS
        return self._discovery.done or has_peers or has_waited

    @property
    def _is_busy(self):
        return bool(self._callers.busy or self._links.busy or self._admission.running)

    @handler("started", channel="*")
    def _on_started(self, _manager):
        signal.signal(signal.SIGTERM, self._on_sigterm)
        signal.signal(signal.SIGINT, self._on_sigterm)
        signal.signal(signal.SIGHUP, self._on_sighup)
        self._callers.start()
        self._links.start()
        for endpoint in self._http_endpoints:
            if endpoint.address is not None:
                serve_http(self._loop, endpoint, self._limits, self._log.fault, self._memory)
        self._peers.start()
        self._config_sync.start(self._platform.document_table, self._platform.document_key)
        self._discovery.start()
        # The settings file may be changed without a SIGHUP.
        self._loop.call_every(_RELOAD_SECONDS, lambda: self._reload(is_requested=False))
        self._log.notable("start", service=self._settings.service, domain=self._settings.domain)
        exclude_imports_from_gc()

    def _own_status(self):
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
            config_version=self._config_sync.version,
            lacks_store_access=self._config_sync.lacks_store_access,
            revision=0,
            push_interval_s=0.0,
            crashes=self._crashes.recent_crashes,
            start_wait_s=round(admission.start_limits.expected_wait_s(self._loop.now()), 3),
            evacuation_version=self._config_sync.evacuations.current.changed_at,
        )

    def _on_peer_status(self, view, is_forwarded):
        self._config_sync.on_peer_status(view, is_forwarded)
        self._crashes.merge_remote(view.status.host, view.status.crashes)

    def _own_view(self):
        view = HostView()
        view.status = self._own_status()
        view.heard_at = self._loop.now()
        return view

    def _on_config(self, config):
        self._admission.shares.configure(find_weights(config.organisations))
        self._target.configure(config.services.get(self._settings.service))
        self._peers.announce_version(self._config_sync.announcement_scope)

    def _on_evacuation(self, announcement_scope):
        self._target.set_evacuated(
            self._settings.domain in self._config_sync.evacuations.current.domains
        )
        self._peers.announce_version(announcement_scope)

    def _answer_readiness(self, _request):
        if self.ready:
            return _READY
        return 503, b'{"ready":false}'

    def _answer_target(self, request):
        return self._platform.answer_target(request, self._target, self._log)

    def _on_sighup(self, _number, _frame):
        self._loop.call_from_signal(self._reload)

    def _reload(self, is_requested=True):
        settings = self._platform.read_settings()
        if settings is None:
            self._log.notable("reload_failed")
            return
        before = self._settings
        if not is_requested and settings == before:
            return
        self._log.notable("reload", changed=settings != before)
        # Only the limits can change at runtime. A process keeps its sockets, its name and its
        # target until it exits.
        self._settings = settings._replace(
            name=before.name,
            domain=before.domain,
            service=before.service,
            addresses=before.addresses,
        )
        self._router.apply_settings(self._settings)
        self._target.apply_settings(self._settings)
        self._config_sync.apply_settings(self._settings)
        self._contacts.apply_settings(self._settings)

    def _on_sigterm(self, _number, _frame):
        # The loop itself ends the node. With circuits' own signal handling, SystemExit would be
        # raised inside an event handler, after which its loop spins without handling events.
        if not self._stopping:
            self._stopping = True
            self._sigterm_at = self._loop.now()
            self._loop.call_from_signal(self._shut_down)

    def _shut_down(self):
        now = self._loop.now()
        # The platform counts the grace period from the signal, which a busy loop handles later.
        plan = plan_shutdown(self._sigterm_at, self._settings.grace_s)
        self._log.notable(
            "stop",
            running=self._admission.running,
            callers=self._callers.connections,
            exit_s=round(plan.exit_at - now, 3),
            late_ms=round((now - self._sigterm_at) * 1000, 1),
        )
        self._router.set_shutdown(plan)
        self._admission_controller.set_shutdown_time(plan.exit_at)
        self._call_at(plan.target_closes_at, self._target.stop)
        self._call_at(plan.callers_drained_at, lambda: self._finish_callers(plan))

    def _call_at(self, moment, callback):
        self._loop.call_later(max(0.0, moment - self._loop.now()), callback)

    def _finish_callers(self, plan):
        # Requests that run at the target may send requests of their own through this node.
        if self._admission.running and self._loop.now() < plan.callers_close_at:
            self._loop.call_later(_STOP_POLL_SECONDS, lambda: self._finish_callers(plan))
            return
        self._callers.finish()
        self._exit_when_idle(plan.exit_at)

    def _exit_when_idle(self, exit_at):
        if self._is_busy and self._loop.now() < exit_at:
            self._loop.call_later(_STOP_POLL_SECONDS, lambda: self._exit_when_idle(exit_at))
            return
        # A peer's kernel acknowledges what its process has not read yet. If this process exited
        # then, what the peer sends next would end its link with replies still unread.
        self._links.finish()
        wait_for_delivery(self._loop, self._measure_undelivered, exit_at, self._exit)

    def _measure_undelivered(self):
        return self._callers.undelivered + self._links.undelivered + self._links.links

    def _exit(self):
        busy = self._is_busy
        callers = self._callers.busy_connections
        # A copy, as a request that ends lets the next one on its connection begin.
        for relay in list(self._router.active_relays):
            relay.end_at_exit()
        self._log.notable(
            "stopped",
            idle=not busy,
            callers=callers,
            running=self._admission.running,
            links_busy=self._links.busy,
            undelivered=self._callers.undelivered + self._links.undelivered,
        )
        self._log.flush()
        self.stop()


def _make_pacer(loop, link_mbps):
    if link_mbps is None or link_mbps >= FAST_LINK_MBPS:
        return None
    return FragmentPacer(loop, link_mbps)


def exclude_imports_from_gc():
    """Enable garbage collection, restricted to objects that are created from now on.

    The objects created while importing live as long as the process. Traversing them in each full
    collection would block all requests for about 20 ms. They contain so little garbage that even
    one collection of them isn't worthwhile.

    :return: None.
    """
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD_OBJECTS, 10, 10)
    gc.enable()
