"""A node's settings and the interface to its platform, independent of the platform's formats."""

from typing import NamedTuple

from camphorshelf_core.retrybudget import RetryLimits
from camphorshelf_core.storecontact import RevocationSettings
from camphorshelf_core.warmup import WarmUpBounds


class Endpoint(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    @property
    def text(self):
        """The endpoint as ``ip:port``."""
        return f"{self.ip}:{self.port}"


class Addresses(NamedTuple):
    """The endpoints that a node listens on and connects to.

    :param callers: listens for requests of callers on this host.
    :param readiness: listens for readiness checks.
    :param heartbeats: listens for heartbeats of the local target.
    :param links: listens for links of other nodes.
    :param datagrams: listens for datagrams of other nodes, such as their statuses.
    :param target: the local target's endpoint for requests.
    :param store: the endpoint of the platform's store.
    :param metrics: listens for scrapes of the metrics; None to serve none.
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
    """The settings of one node.

    :param name: the host's name.
    :param domain: the host's failure domain.
    :param service: the service of the local target.
    :param addresses: the :class:`Addresses`.
    :param retry: the :class:`~camphorshelf_core.retrybudget.RetryLimits` of every service.
    :param grace_s: the time from SIGTERM until the process is killed, in seconds.
    :param probes_per_s: the largest number of health probes of the target per second.
    :param is_first_start: whether the whole system starts for the first time.
    :param warm_up: the :class:`~camphorshelf_core.warmup.WarmUpBounds` of every service.
    :param link_mbps: the rate of the host's link, in Mbit/s; None if it is not known.
    :param revocation: the :class:`~camphorshelf_core.storecontact.RevocationSettings`.
    :param apply_s: the time in which what operators write to the store has to be in force, in
        seconds.
    :param memory_mb: the memory of the process, in MB; None if it is not known.
    :param max_fds: how many file descriptors the process may have; None if it is not known.
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
    link_mbps: float | None = None
    revocation: RevocationSettings = RevocationSettings()
    apply_s: float = 2.0
    memory_mb: float | None = None
    max_fds: int | None = None

    @property
    def contact_limit_s(self):
        """How old a contact with the store may get without any effect on callers, in seconds."""
        if self.revocation.is_strict:
            return min(self.apply_s, self.revocation.revoke_s)
        return self.apply_s


class CallerMetadata(NamedTuple):
    """Metadata from the headers of a caller's request.

    :param request_id: the caller's id of this attempt.
    :param timeout_s: how long the caller waits, in seconds; None if it does not say.
    :param key: the organisation's key that it sent; None without exactly one.
    """

    request_id: str
    timeout_s: float | None
    key: bytes | None = None


class TargetMetadata(NamedTuple):
    """Metadata from the headers of a target's response.

    :param request_id: the id of the request that the target answers; empty if it is missing.
    :param not_run: whether the target confirms that the request did not run.
    :param falsely_implies_not_run: whether the status would tell the caller that the request did
        not run although the target does not confirm that.
    :param instance: the id of the target's process; empty if it is missing.
    :param running: the number of requests that run at the target; None if it reports no load.
    :param waiting: the number of requests queued inside the target; None if it reports no load.
    :param slots: the number of requests that the target runs at once; None if it reports no load.
    :param slowness: the duration of work at the target relative to the usual duration; None if it
        is not reported.
    :param keep_alive_s: how long the target keeps an idle connection open, in seconds; None if it
        is not reported.
    :param is_content_encoded: whether the response has a content encoding; the target's service
        uses none.
    :param is_signed: whether the response carries the target's signature, as all successful
        responses do.
    :param cold_left_s: for how many seconds the target stays cold, 0.0 if it is warm; None if it is
        not reported.
    :param rate_limit_per_s: the requests a second that the target accepts from all hosts together;
        None if it advertises no rate limit.
    :param is_rate_limit_invalid: whether it advertises a rate limit that could not be parsed.
    :param is_leaving: whether it says that its process is about to end.
    """

    request_id: str
    not_run: bool
    falsely_implies_not_run: bool
    instance: str
    running: int | None
    waiting: int | None
    slots: int | None
    slowness: float | None
    keep_alive_s: float | None
    is_content_encoded: bool
    is_signed: bool
    cold_left_s: float | None = None
    rate_limit_per_s: float | None = None
    is_rate_limit_invalid: bool = False
    is_leaving: bool = False


class HeaderCodec(NamedTuple):
    """Functions that parse and build the platform's HTTP headers.

    :param parse_caller: takes the headers of a caller's request and returns its
        :class:`CallerMetadata`.
    :param set_organisation: takes the headers of a caller's request and the name of its
        organisation or None, and returns the headers without keys and with only that name.
    :param find_organisation: takes headers that ``set_organisation`` returned, and returns the
        organisation's name; empty without one.
    :param build_request: takes the headers of a caller's request, the remaining seconds, the
        target's instance and the service on the entry node's host, and returns the headers for the
        target.
    :param parse_target: takes the status and the headers of a target's response and returns its
        :class:`TargetMetadata`.
    :param is_leaving: takes the headers of a target's response and returns whether they say that
        the target's process is about to end.
    :param build_refusal: takes a refusal and the request's id and returns the status and the
        headers of the response.
    """

    parse_caller: object
    set_organisation: object
    find_organisation: object
    build_request: object
    parse_target: object
    is_leaving: object
    build_refusal: object
