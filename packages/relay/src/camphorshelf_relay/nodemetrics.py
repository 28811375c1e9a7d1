"""Registers the metrics of a node's components."""

from typing import NamedTuple

# Without a limit, the number of series would grow with the organisations that come and go.
_MAX_ORGANISATIONS = 100
_OTHER_ORGANISATIONS = "(other)"


class MetricSources(NamedTuple):
    """The components of a node that metrics are read from.

    :param loop: the :class:`~camphorshelf_node.loop.Loop`.
    :param target: the :class:`~camphorshelf_relay.target.Target`.
    :param admission: the :class:`~camphorshelf_core.admissionqueue.AdmissionQueue`.
    :param admission_controller: the
        :class:`~camphorshelf_relay.admissioncontroller.AdmissionController`.
    :param router: the :class:`~camphorshelf_relay.router.Router`.
    :param peers: the :class:`~camphorshelf_relay.peers.Peers`.
    :param config_sync: the :class:`~camphorshelf_relay.configsync.ConfigSynchronizer`.
    :param contacts: the :class:`~camphorshelf_relay.storecontacts.StoreContacts`.
    :param callers: the :class:`~camphorshelf_relay.listeners.CallerListener`.
    :param store: the store's client.
    :param log: the :class:`~camphorshelf_relay.eventlog.EventLog`.
    :param is_ready: returns whether callers should send requests to this node.
    :param memory: the :class:`~camphorshelf_node.memoryguard.MemoryGuard`.
    """

    loop: object
    target: object
    admission: object
    admission_controller: object
    router: object
    peers: object
    config_sync: object
    contacts: object
    callers: object
    store: object
    log: object
    is_ready: object
    memory: object


class _SharesReader:
    def __init__(self, admission_controller):
        self._admission_controller = admission_controller
        self._names = set()

    def read(self):
        values = {}
        for share in self._admission_controller.list_shares():
            name = share.organisation
            if name not in self._names:
                if len(self._names) >= _MAX_ORGANISATIONS:
                    name = _OTHER_ORGANISATIONS
                else:
                    self._names.add(name)
            for kind in ("demanded", "entitled", "served"):
                key = name, kind
                values[key] = values.get(key, 0.0) + getattr(share, kind)
        return values


def register_node_metrics(metrics, sources):
    """Register the metrics of a node's components.

    :param metrics: the :class:`~camphorshelf_relay.metrics.Metrics` to add them to.
    :param sources: the :class:`MetricSources`.
    :return: None.
    """
    target, admission = sources.target, sources.admission
    sources.router.on_outcome = metrics.record_request
    sources.admission_controller.on_response = metrics.record_run
    add_counter, add_gauge = metrics.add_counter, metrics.add_gauge
    add_counter(
        "offers",
        "Requests offered to the target's node, by outcome.",
        sources.admission_controller.counts,
        "outcome",
    )
    add_counter(
        "retries", "Retries by service and verdict.", sources.router.retry_counts, "service verdict"
    )
    quotas = sources.router.quotas
    add_counter(
        "quota.requests",
        "Requests of organisations with a quota (admitted, refused, decided by the fallback"
        " bucket), and tokens requested from the owner.",
        quotas.counts,
        "organisation outcome",
    )
    add_gauge(
        "quota.silent.owners",
        "Organisations whose quota's owner does not reply.",
        quotas.count_silent_owners,
    )
    add_counter("store.calls", "Calls to the store.", sources.store.counts, "kind outcome")
    add_counter("statuses", "Statuses of hosts.", sources.peers.counts, "outcome")
    add_counter("datagrams", "Datagrams to other hosts.", sources.peers.datagram_counts, "outcome")
    add_counter(
        "load.probes",
        "Probes of the load of other hosts.",
        sources.peers.prober.counts,
        "outcome",
    )
    add_counter("target.contacts", "Probes and connections.", target.counts, "kind")
    add_counter("target.strays", "Answers that belong to no request.", target.stray_counts, "place")
    add_counter(
        "target.invalid.headers",
        "Headers of the target that could not be parsed.",
        target.invalid_header_counts,
        "header",
    )
    add_counter("log.dropped", "Log lines left out.", sources.log.counts, "reason")
    add_gauge("target.running", "Requests that run at the target.", lambda: admission.running)
    add_gauge("target.queued", "Requests that wait for a slot.", lambda: admission.queued)
    add_counter(
        "target.displaced",
        "Queued requests displaced by others of a better priority or share.",
        admission.displaced_counts,
        "cause",
    )
    metrics.add_labelled_gauge(
        "target.shares",
        "Slots demanded, entitled and served, of the organisations that demand most.",
        _SharesReader(sources.admission_controller).read,
        "organisation kind",
    )
    add_gauge("target.limit", "Requests that may run at once.", lambda: admission.limit)
    add_gauge(
        "target.slowness",
        "How long work takes, 1 as usual.",
        lambda: target.slowness,
    )
    add_gauge("target.failing", "Share of failed requests.", lambda: target.failing)
    add_gauge(
        "target.accepting",
        "1 while work is let in.",
        lambda: int(target.accepting),
    )
    add_gauge(
        "target.cold",
        "1 while starts are limited.",
        lambda: int(target.is_limited),
    )
    add_gauge(
        "target.rate.limit",
        "The rate limit that the target advertises, in requests a second; -1 for none.",
        lambda: -1 if target.rate_limit_per_s is None else target.rate_limit_per_s,
    )
    evacuations = sources.config_sync.evacuations
    add_gauge("evacuated", "Evacuated failure domains.", lambda: len(evacuations.current.domains))
    add_gauge("ready", "1 while callers should come.", lambda: int(sources.is_ready()))
    add_gauge(
        "config.version",
        "The configuration in force.",
        lambda: sources.config_sync.version,
    )
    add_gauge(
        "store.age",
        "Seconds since the store answered.",
        lambda: sources.config_sync.store_age_s,
    )
    add_gauge(
        "config.contact.age",
        "Seconds since a contact that could have brought a newer configuration; -1 without one.",
        lambda: sources.contacts.age_s,
    )
    memory = sources.memory
    add_counter(
        "connections.shed",
        "Connections and messages closed or refused for lack of memory or descriptors.",
        memory.counts,
        "listener cause",
    )
    add_gauge("memory.held.bytes", "Bytes from outside that are held.", lambda: memory.held_bytes)
    add_gauge(
        "memory.limit.bytes",
        "Bytes from outside that may be held.",
        lambda: memory.limit_bytes,
    )
    add_gauge("callers", "Connections of callers.", lambda: sources.callers.connections)
    windows = sources.router.windows
    add_gauge(
        "streams.window.bytes",
        "Bytes of streamed responses that may be in flight to this entry node.",
        lambda: windows.reserved_bytes,
    )
    live = sources.peers.directory.live
    add_gauge(
        "hosts",
        "Other hosts heard lately.",
        lambda: len(live(sources.loop.now())),
    )
