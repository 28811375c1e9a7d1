"""A node's settings, read from JSON with comments and validated field by field."""

import json
from ipaddress import ip_address
from typing import Annotated, Literal, NamedTuple

import json5
from pydantic import AfterValidator, Field, TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

_TCP_PORTS = range(0, 65536)


def _check_address(value):
    host, separator, port = value.rpartition(":")
    if not separator or not port.isdigit() or int(port) not in _TCP_PORTS:
        raise ValueError("must be IP:PORT")
    ip_address(host.strip("[]"))
    return value


Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Milliseconds = Annotated[int, Field(ge=1, le=3_600_000)]
HeaderName = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Bytes = Annotated[int, Field(ge=1, le=1 << 30)]


class ListenSettings(NamedTuple):
    """The addresses on which a node listens for callers, peers and administration."""

    callers: Address
    peers: Address
    admin: Address


class PlatformSettings(NamedTuple):
    """The addresses of the platform's table service and object store, and limits on their use.

    ``requests_per_second`` limits this node alone, with a burst of one second's worth.
    """

    table: Address
    objects: Address
    timeout_ms: Milliseconds = 500
    requests_per_second: Annotated[int, Field(ge=1, le=10_000)] = 200


class LimitSettings(NamedTuple):
    """Limits on requests, answers and caller connections, and on what the process may use.

    ``memory_mb`` and ``max_fds`` are the memory and the file descriptors of the process.
    """

    head_bytes: Bytes = 16_384
    body_bytes: Bytes = 1_048_576
    answer_bytes: Bytes = 8_388_608
    head_timeout_ms: Milliseconds = 5_000
    body_timeout_ms: Milliseconds = 15_000
    idle_timeout_ms: Milliseconds = 75_000
    default_deadline_ms: Milliseconds = 10_000
    max_deadline_ms: Milliseconds = 60_000
    caller_connections: Annotated[int, Field(ge=1, le=100_000)] = 1_000
    memory_mb: Annotated[int, Field(ge=64, le=1_000_000)] = 512
    max_fds: Annotated[int, Field(ge=256, le=1_000_000)] = 4_100


Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=0, le=1_000)]


class EntrySettings(NamedTuple):
    """How an entry node routes, retries and hedges; docs/design/routing.md has the measurements.

    ``report_half_life`` is a multiple of the service's usual latency, because after a few such
    latencies all calls in flight are different ones. The budgets ``spill_share``, ``retry_share``
    and ``hedge_share`` are shares of the first attempts: a ``retry_share`` of 0.1 allows one retry
    per ten calls.
    """

    policy: Literal["ours", "random", "round_robin", "least_reported"] = "ours"
    choices: Annotated[int, Field(ge=1, le=32)] = 6
    report_half_life: Annotated[float, Field(ge=0.01, le=1_000)] = 0.5
    domain_cost_ms: Annotated[float, Field(ge=0, le=1_000)] = 2.0
    subset: Annotated[int, Field(ge=2, le=250)] = 20
    link_limit: Annotated[int, Field(ge=1, le=100_000)] = 250
    spill_attempts: Annotated[int, Field(ge=0, le=8)] = 2
    spill_share: Share = 0.3
    retry_share: Share = 0.1
    hedge_share: Share = 0.05
    hedge_quantile: Annotated[float, Field(ge=50, le=99.9)] = 95.0


class SensingSettings(NamedTuple):
    """Limits on the cost of load probes, for probes sent and answered together."""

    bytes_per_second: Annotated[int, Field(ge=0, le=1_000_000)] = 2_400
    burst_bytes: Annotated[int, Field(ge=0, le=1_000_000)] = 960
    cpu_microseconds_per_second: Annotated[int, Field(ge=0, le=1_000_000)] = 5_000


class RosterSettings(NamedTuple):
    """How members find and monitor each other, and limits on the cost.

    ``contacts`` are peers' addresses, used for a start while the platform's table is down.
    ``bytes_per_second`` limits what the node sends for this on average, ``burst_bytes`` in a burst.
    """

    contacts: tuple[Address, ...] = ()
    period_ms: Milliseconds = 1_000
    ack_timeout_ms: Milliseconds = 300
    bytes_per_second: Annotated[int, Field(ge=1_000, le=1_000_000)] = 4_000
    burst_bytes: Annotated[int, Field(ge=8_000, le=1_000_000)] = 20_000
    remember_dead_s: Annotated[int, Field(ge=60, le=86_400)] = 7_200


class GateSettings(NamedTuple):
    """How the target's node distributes the target's slots.

    ``caller_header`` names the header that identifies the caller. Without this setting, or when a
    request lacks the header, the caller is identified by its IP address. ``not_run_header`` names
    the header with which a target marks a 503 response to a request that it did not run; its value
    must be ``NOT_RUN``. Without this setting a 503 is passed on as the target's own response.
    """

    policy: Literal["ours", "fifo"] = "ours"
    caller_header: HeaderName | None = None
    teams: dict[str, str] = {}
    team_weights: dict[str, Annotated[int, Field(ge=1, le=1_000)]] = {}
    not_run_header: HeaderName | None = None


class QuarantineSettings(NamedTuple):
    """When requests that crash targets are refused, and for how long."""

    crashes: Annotated[int, Field(ge=2, le=10)] = 2
    suspicion_ms: Milliseconds = 600_000
    hold_ms: Milliseconds = 1_800_000
    remembered: Annotated[int, Field(ge=16, le=100_000)] = 1_024


class DrainSettings(NamedTuple):
    """How a leaving target is notified that it is empty, and when it counts as ended.

    The notification is sent to ``path`` and repeated every ``retry_ms``. A target without requests
    that has not announced itself for ``silent_ms`` counts as ended.
    """

    path: Annotated[str, Field(pattern=r"^/[!-~]*$")] = "/drain"
    retry_ms: Milliseconds = 1_000
    silent_ms: Milliseconds = 3_500


class ClaimSettings(NamedTuple):
    """How calls with an idempotency key are claimed, and how long their outcome is kept.

    A node keeps answers in memory within the limits ``kept_answers``, ``kept_answer_bytes`` and
    ``answer_age_ms``. An answer of at most ``table_answer_bytes`` is also stored in the table,
    whose rows expire after ``retention_hours``. ``tickets`` limits the number of tickets that a
    node keeps.
    """

    batch_ms: Milliseconds = 3
    batch_items: Annotated[int, Field(ge=1, le=100)] = 25
    kept_answers: Annotated[int, Field(ge=1, le=1_000_000)] = 4_096
    kept_answer_bytes: Bytes = 4_194_304
    answer_age_ms: Milliseconds = 600_000
    table_answer_bytes: Annotated[int, Field(ge=0, le=100_000)] = 2_048
    retention_hours: Annotated[int, Field(ge=1, le=8_760)] = 48
    tickets: Annotated[int, Field(ge=1, le=1_000_000)] = 4_096
    ticket_age_ms: Milliseconds = 600_000


class TokenSettings(NamedTuple):
    """An operator token's team, hash and services; the token itself is stored nowhere."""

    team: Name
    sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    services: tuple[Name, ...] = ()


class AdministrationSettings(NamedTuple):
    """The operators' tokens, and limits on administration requests."""

    tokens: tuple[TokenSettings, ...] = ()
    request_bytes: Bytes = 262_144
    request_timeout_ms: Milliseconds = 10_000
    connections: Annotated[int, Field(ge=1, le=10_000)] = 64
    decisions_kept: Annotated[int, Field(ge=1, le=100_000)] = 1_000


class ConfigurationSettings(NamedTuple):
    """How the configuration spreads, and when a node no longer relies on its own version.

    While the platform doesn't answer, peers in ``proof_domains`` failure domains must show that a
    node's version is current. A node refuses calls after its process was paused for more than
    ``freeze_ms``, until its version is proved again; when it has known of a newer version for more
    than ``behind_ms`` without getting it; and, if it has peers, when neither the platform nor any
    peer has answered for more than ``cut_off_ms``, where 0 means no limit.
    """

    polls_per_second: Annotated[float, Field(gt=0, le=100)] = 4.0
    partners: Annotated[int, Field(ge=1, le=16)] = 4
    proof_domains: Annotated[int, Field(ge=1, le=12)] = 2
    freeze_ms: Milliseconds = 3_000
    behind_ms: Milliseconds = 5_000
    cut_off_ms: Annotated[int, Field(ge=0, le=3_600_000)] = 10_000


class Settings(NamedTuple):
    """All settings of one node."""

    name: Name
    failure_domain: Name
    listen: ListenSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    roster: RosterSettings = RosterSettings()
    entry: EntrySettings = EntrySettings()
    sensing: SensingSettings = SensingSettings()
    gate: GateSettings = GateSettings()
    quarantine: QuarantineSettings = QuarantineSettings()
    drain: DrainSettings = DrainSettings()
    claims: ClaimSettings = ClaimSettings()
    administration: AdministrationSettings = AdministrationSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()


_ADAPTER = TypeAdapter(Settings)


def split_address(address):
    """Split a valid address.

    :param address: the address as ``IP:PORT``.
    :return: the pair of IP address and port number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def parse_settings(text) -> Result[Settings, str]:
    """Parse and validate the text of a settings file.

    :param text: JSON with comments.
    :return: ``Success`` with the :class:`Settings`, or ``Failure`` with a text of one line for each
        invalid field.
    """
    try:
        raw = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        return Failure(f"not JSON with comments: {error}")
    if not isinstance(raw, dict):
        return Failure("(whole file): must be a JSON object")
    try:
        # Strict, because a quoted number, or a boolean in place of a number, is a mistake that
        # would otherwise be converted to an unintended value.
        return Success(_ADAPTER.validate_json(json.dumps(raw), strict=True))
    except ValidationError as error:
        return Failure("\n".join(_describe_error(problem) for problem in error.errors()))


def read_settings(path) -> Result[Settings, str]:
    """Read, parse and validate a settings file.

    :param path: the file's path.
    :return: ``Success`` with the :class:`Settings`, or ``Failure`` with a text of one line for each
        invalid field, each prefixed with the path.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        return Failure(f"{path}: {error.strerror}")
    return parse_settings(text).alt(
        lambda lines: "\n".join(f"{path}: {line}" for line in lines.splitlines())
    )


def _describe_error(problem):
    field = ".".join(str(part) for part in problem["loc"]) or "(whole file)"
    if problem["type"] == "missing":
        return f"{field}: is required but missing"
    if problem["type"] == "extra_forbidden":
        return f"{field}: is an unknown field; saw {problem['input']!r:.100}"
    return f"{field}: {problem['msg']}; saw {problem['input']!r:.100}"
