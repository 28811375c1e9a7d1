"""The settings of a node, read from JSON with comments and checked field by field."""

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
    """Where a node listens: for callers, for peers and for administration."""

    callers: Address
    peers: Address
    admin: Address


class PlatformSettings(NamedTuple):
    """Where the platform's table service and object store are, and what a node may ask of them.

    ``requests_per_second`` bounds this node alone, with a burst of one second's worth.
    """

    table: Address
    objects: Address
    timeout_ms: Milliseconds = 500
    requests_per_second: Annotated[int, Field(ge=1, le=10_000)] = 200


class LimitSettings(NamedTuple):
    """Bounds on what callers may send and how long it may take."""

    head_bytes: Bytes = 16_384
    body_bytes: Bytes = 1_048_576
    answer_bytes: Bytes = 8_388_608
    head_timeout_ms: Milliseconds = 5_000
    body_timeout_ms: Milliseconds = 15_000
    idle_timeout_ms: Milliseconds = 75_000
    default_deadline_ms: Milliseconds = 10_000
    max_deadline_ms: Milliseconds = 60_000
    caller_connections: Annotated[int, Field(ge=1, le=100_000)] = 1_000


Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=0, le=1_000)]


class EntrySettings(NamedTuple):
    """How an entry node routes, retries and hedges; docs/design/routing.md has the measurements.

    ``report_half_life`` is told in usual latencies of the service: its calls in flight are all
    others after a few of them. Budgets are shares of the fresh calls: ``retry_share`` 0.1 lets
    one call in ten be a retry.
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
    """What probing the load of targets may cost, asked and answered together."""

    bytes_per_second: Annotated[int, Field(ge=0, le=1_000_000)] = 2_400
    burst_bytes: Annotated[int, Field(ge=0, le=1_000_000)] = 960
    cpu_microseconds_per_second: Annotated[int, Field(ge=0, le=1_000_000)] = 5_000


class RosterSettings(NamedTuple):
    """How members find and watch each other, and what that may cost.

    ``contacts`` are peers' addresses for a start while the platform's table is down.
    ``bytes_per_second`` bounds what the node sends for it, over any time longer than the burst.
    """

    contacts: tuple[Address, ...] = ()
    period_ms: Milliseconds = 1_000
    ack_timeout_ms: Milliseconds = 300
    bytes_per_second: Annotated[int, Field(ge=1_000, le=1_000_000)] = 4_000
    burst_bytes: Annotated[int, Field(ge=8_000, le=1_000_000)] = 20_000
    remember_dead_s: Annotated[int, Field(ge=60, le=86_400)] = 7_200


class GateSettings(NamedTuple):
    """How the target's node shares out its slots.

    ``caller_header`` names the header that tells callers apart; without it, or where a request
    lacks it, the caller is its IP number. ``not_run_header`` is the header by which a target
    says of a 503 that the work did not run; its value must be ``NOT_RUN``. Without it a 503 is
    passed on as the target's own answer.
    """

    policy: Literal["ours", "fifo"] = "ours"
    caller_header: HeaderName | None = None
    teams: dict[str, str] = {}
    team_weights: dict[str, Annotated[int, Field(ge=1, le=1_000)]] = {}
    not_run_header: HeaderName | None = None


class QuarantineSettings(NamedTuple):
    """When a request that crashes targets is refused, and for how long."""

    crashes: Annotated[int, Field(ge=2, le=10)] = 2
    suspicion_ms: Milliseconds = 600_000
    hold_ms: Milliseconds = 1_800_000
    remembered: Annotated[int, Field(ge=16, le=100_000)] = 1_024


class DrainSettings(NamedTuple):
    """How a leaving target is told that it is empty, and when silence means that it ended."""

    path: Annotated[str, Field(pattern=r"^/[!-~]*$")] = "/drain"
    retry_ms: Milliseconds = 1_000
    silent_ms: Milliseconds = 3_500


class ClaimSettings(NamedTuple):
    """How calls under a key are claimed, and how long their outcome is remembered.

    Answers are kept in a node's memory within ``kept_answers``, ``kept_answer_bytes`` and
    ``answer_age_ms``; one of at most ``table_answer_bytes`` goes to the table as well, whose rows
    last ``retention_hours``. ``tickets`` bounds the tickets that a node remembers.
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
    """One operators' token: whose it is and its hash; the token itself is kept nowhere."""

    team: Name
    sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    services: tuple[Name, ...] = ()


class AdministrationSettings(NamedTuple):
    """Who may administer and how much a request may weigh."""

    tokens: tuple[TokenSettings, ...] = ()
    request_bytes: Bytes = 262_144
    request_timeout_ms: Milliseconds = 10_000
    connections: Annotated[int, Field(ge=1, le=10_000)] = 64
    decisions_kept: Annotated[int, Field(ge=1, le=100_000)] = 1_000


class ConfigurationSettings(NamedTuple):
    """How the configuration spreads and when a node stops trusting its own."""

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
    """Split a checked address.

    :param address: ``IP:PORT``.
    :return: the pair of IP and port number.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def parse_settings(text) -> Result[Settings, str]:
    """Check the text of a settings file.

    :param text: JSON with comments.
    :return: ``Success`` of the settings, or ``Failure`` of the lines that name each bad field.
    """
    try:
        raw = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        return Failure(f"not JSON with comments: {error}")
    if not isinstance(raw, dict):
        return Failure("(whole file): must be an object of fields")
    try:
        # Strict: a number in quotes or a truth value in a number's place is a slip of the pen
        # that would otherwise be read as something that nobody meant.
        return Success(_ADAPTER.validate_json(json.dumps(raw), strict=True))
    except ValidationError as error:
        return Failure("\n".join(_describe(problem) for problem in error.errors()))


def read_settings(path) -> Result[Settings, str]:
    """Read and check a settings file.

    :param path: the file's path.
    :return: ``Success`` of the settings, or ``Failure`` of lines that name file and field.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        return Failure(f"{path}: {error.strerror}")
    return parse_settings(text).alt(
        lambda lines: "\n".join(f"{path}: {line}" for line in lines.splitlines())
    )


def _describe(problem):
    field = ".".join(str(part) for part in problem["loc"]) or "(whole file)"
    if problem["type"] == "missing":
        return f"{field}: is required and not there"
    if problem["type"] == "extra_forbidden":
        return f"{field}: is no field; saw {problem['input']!r:.100}"
    return f"{field}: {problem['msg']}; saw {problem['input']!r:.100}"
