"""What a node is told at its start, in the project's own terms."""

from typing import NamedTuple

from camphorshelf_core.retrybudget import RetryLimits
from camphorshelf_core.warmup import WarmUpBounds


class Endpoint(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    @property
    def text(self):
        """Both as ``ip:port``."""
        return f"{self.ip}:{self.port}"


class Addresses(NamedTuple):
    """Where a node listens and whom it speaks to.

    :param callers: requests of callers on this host.
    :param readiness: the question whether callers should come here.
    :param heartbeats: the heartbeats of the target beside the node.
    :param links: links of other nodes.
    :param datagrams: statuses of other nodes.
    :param target: where the target beside the node takes requests.
    :param store: the platform's store.
    :param metrics: where counters and histograms are read; None for nowhere.
    """

    callers: Endpoint
    readiness: Endpoint
    heartbeats: Endpoint
    links: Endpoint
    datagrams: Endpoint
    target: Endpoint
    store: Endpoint
    metrics: Endpoint | None


class NodeSettings(NamedTuple):
    """Everything that a node does not decide by itself.

    :param name: the host's name.
    :param domain: its failure domain.
    :param service: the service of the target beside the node.
    :param addresses: the :class:`Addresses`.
    :param retry: the :class:`~camphorshelf_core.retrybudget.RetryLimits` of every service.
    :param grace_s: seconds from SIGTERM until the process is killed.
    :param probes_per_s: the most health questions to the target, a second.
    :param is_first_start: whether the whole system starts for the first time.
    :param warm_up: the :class:`~camphorshelf_core.warmup.WarmUpBounds` of every service.
    """

    name: str
    domain: str
    service: str
    addresses: Addresses
    retry: RetryLimits
    grace_s: float
    probes_per_s: float
    is_first_start: bool = True
    warm_up: WarmUpBounds = WarmUpBounds()


class CallerTerms(NamedTuple):
    """What a caller says of its request.

    :param request_id: names this attempt of the caller.
    :param wait_s: how long the caller waits; None when it does not say.
    """

    request_id: str
    wait_s: float | None


class TargetWord(NamedTuple):
    """What a target says of itself and of one request on an answer.

    :param request_id: the request that it answers; empty when it does not say.
    :param not_run: whether it vouches that the request did not run.
    :param misleading: whether its status would tell the caller that the request did not run,
        which the target does not vouch for.
    :param instance: its id, where it says so.
    :param running: requests that run there; None when it does not tell its load.
    :param waiting: requests that wait inside it.
    :param slots: requests that it works on at once.
    :param slowness: how long work takes there now, 1.0 as usual; None when it does not tell.
    :param idle_s: how long it keeps an idle connection; None when it does not say.
    :param encoded: whether the body is not as the target's service made it.
    :param signed: whether the answer bears the target's signature, as every success does.
    :param cold_left_s: for how long it stays cold, 0.0 when it is warm; None when it doesn't say.
    """

    request_id: str
    not_run: bool
    misleading: bool
    instance: str
    running: int | None
    waiting: int | None
    slots: int | None
    slowness: float | None
    idle_s: float | None
    encoded: bool
    signed: bool
    cold_left_s: float | None = None


class Dialect(NamedTuple):
    """How callers and targets are spoken to; plain functions that the adapter provides.

    :param read_caller: takes the headers of a request and gives its :class:`CallerTerms`.
    :param write_request: takes headers, seconds left, the target's instance and the service
        beside the entry node, and gives the headers for the target.
    :param read_target: takes status and headers of an answer and gives a :class:`TargetWord`.
    :param write_refusal: takes a refusal and the request's id and gives status and headers.
    """

    read_caller: object
    write_request: object
    read_target: object
    write_refusal: object
