"""Which numbers a node tells of its parts."""

from typing import NamedTuple


class NodeParts(NamedTuple):
    """The parts of a node that metrics are read from.

    :param loop: its loop.
    :param target: its :class:`~camphorshelf_relay.target.Target`.
    :param admission: its :class:`~camphorshelf_core.admissionqueue.AdmissionQueue`.
    :param gate: its :class:`~camphorshelf_relay.gate.Gate`.
    :param router: its :class:`~camphorshelf_relay.router.Router`.
    :param peers: its :class:`~camphorshelf_relay.peers.Peers`.
    :param config: its :class:`~camphorshelf_relay.configkeeper.ConfigKeeper`.
    :param callers: its :class:`~camphorshelf_relay.listeners.CallerListener`.
    :param store: the store's client.
    :param log: its :class:`~camphorshelf_relay.eventlog.EventLog`.
    :param is_ready: tells whether callers should come.
    """

    loop: object
    target: object
    admission: object
    gate: object
    router: object
    peers: object
    config: object
    callers: object
    store: object
    log: object
    is_ready: object


def watch_node(metrics, parts):
    """Let a node's parts be observed.

    :param metrics: the :class:`~camphorshelf_relay.metrics.Metrics`.
    :param parts: the :class:`NodeParts`.
    :return: None.
    """
    target, admission = parts.target, parts.admission
    parts.router.on_outcome = metrics.note_request
    parts.gate.on_answer = metrics.note_run
    count, watch = metrics.count, metrics.watch
    count(
        "offers",
        "Requests offered to the target's node, by outcome.",
        parts.gate.counts,
        "outcome",
    )
    count("retries", "Retries by service and verdict.", parts.router.retry_counts, "service verdict")
    count("store.calls", "Calls to the store.", parts.store.counts, "kind outcome")
    count("statuses", "Statuses of hosts.", parts.peers.counts, "outcome")
    count("datagrams", "Datagrams to other hosts.", parts.peers.datagram_counts, "outcome")
    count(
        "load.probes",
        "Probes of the load of other hosts.",
        parts.peers.prober.counts,
        "outcome",
    )
    count("target.contacts", "Probes and connections.", target.counts, "kind")
    count("target.strays", "Answers that belong to no request.", target.strays, "place")
    count("log.dropped", "Log lines left out.", parts.log.counts, "reason")
    watch("target.running", "Requests that run at the target.", lambda: admission.running)
    watch("target.queued", "Requests that wait for a slot.", lambda: admission.queued)
    watch("target.limit", "Requests that may run at once.", lambda: admission.limit)
    watch("target.slowness", "How long work takes, 1 as usual.", lambda: target.slowness)
    watch("target.failing", "Share of failed requests.", lambda: target.failing)
    watch("target.accepting", "1 while work is let in.", lambda: int(target.accepting))
    watch("target.cold", "1 while starts are limited.", lambda: int(target.is_limited))
    evacuations = parts.config.evacuations
    watch("evacuated", "Evacuated failure domains.", lambda: len(evacuations.current.domains))
    watch("ready", "1 while callers should come.", lambda: int(parts.is_ready()))
    watch("config.version", "The configuration in force.", lambda: parts.config.version)
    watch("store.age", "Seconds since the store answered.", lambda: parts.config.store_age_s)
    watch("callers", "Connections of callers.", lambda: parts.callers.connections)
    live = parts.peers.directory.live
    watch("hosts", "Other hosts heard lately.", lambda: len(live(parts.loop.now())))
