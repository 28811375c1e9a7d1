"""Steps that leave entries which can't be read, and that feed parsers with random values."""

import json
import random
import signal
import time
from urllib.parse import quote

import cbor2
from behave import then, when

from camphorshelf_core.errors import ProtocolError
from camphorshelf_core.hostdatagrams import decode as decode_datagram
from camphorshelf_core.hostdatagrams import encode as encode_datagram
from camphorshelf_core.hosts import HostStatus
from camphorshelf_core.messages import ConfigReplyMessage, RelayMessage, RelayRefusedMessage
from camphorshelf_core.messages import decode as decode_message
from camphorshelf_core.messages import encode as encode_message
from camphorshelf_platform.documents import read_document, read_evacuations
from camphorshelf_platform.headers import parse_caller, parse_target
from camphorshelf_platform.heartbeats import parse_request
from camphorshelf_platform.settings import SettingsError, parse_settings
from camphorshelf_platform.store import parse_response
from camphorshelf_relay.discovery import parse_address
from camphorshelf_relay.storeport import StoredRow, StoreFailure, StoreRows
from standins.caller import call
from standins.oddvalues import choose_value, corrupt, nest, render_cbor, render_json
from standins.relays import make_document
from standins.rowstore import encode_value

_ODD_VERSION, _NEXT_VERSION = 100, 200
_MAX_NUMBER = 2**63
_HEARTBEAT = {
    "service": "counter",
    "state": "ready",
    "slots": 9,
    "seq": 10**6,
    "cold_left_s": 0,
    "born": 1,
}


def _odd_document(oddity):
    document = make_document(_ODD_VERSION)
    if oddity == "very deep nesting":
        return nest(b"[")
    if oddity == "bytes that are no text":
        return b"\xff\xfe\x00"
    if oddity == "a number too large":
        document["resources"][0]["spec"]["timeout_s"] = 10**400
    elif oddity == "a service that is a list":
        document["resources"][0]["spec"]["service"] = [["counter"]]
    elif oddity == "a limit too large":
        document["resources"][-1]["spec"]["idle_timeout_s"] = float("inf")
    return json.dumps(document).encode()


_ODD_ROWS = {
    "very deep nesting": nest(b"\x81"),
    "a port out of range": cbor2.dumps("127.0.0.1:99999"),
    "a port of 5000 digits": cbor2.dumps("127.0.0.1:" + "9" * 5000),
    "a zero byte": cbor2.dumps("127.0\0.0.1:80"),
    "a host's name": cbor2.dumps("shop.example:80"),
    "bytes that are no text": b"\xff\xfe\x00",
}
_ODD_FIELDS = {
    "slots too large": {"slots": 10**400},
    "a sequence too large": {"seq": 10**400},
    "a start too large": {"born": 10**400},
    "a port out of range": {"addr": "127.0.0.1:99999"},
}


@when("another writer leaves a document with {oddity}")
def leave_document(context, oddity):
    context.relays.configure(_odd_document(oddity))


@when("nodes have had {seconds:f} s to read it")
def wait_read(context, seconds):
    end = context.relays.counts()["/api/rows-get"] + 2 * len(context.relays.names)
    try:
        context.relays.wait_until(lambda: context.relays.counts()["/api/rows-get"] > end, seconds)
    except TimeoutError:
        # Nodes that stop reading are what the scenario is about.
        return


@then("a new version is in force at all nodes within {seconds:d} s")
def check_next_version(context, seconds):
    relays = context.relays
    relays.configure(make_document(_NEXT_VERSION))

    def is_in_force(name):
        lines = relays.events(name, "config_in_force")
        return bool(lines) and lines[-1]["version"] == _NEXT_VERSION

    relays.wait_until(lambda: all(map(is_in_force, relays.names)), seconds)


@then("all nodes are ready and serve, and none has logged a fault")
def check_sound(context):
    relays = context.relays
    relays.wait_ready()
    relays.wait_served()
    faults = [line for name in relays.names for line in relays.events(name, "fault")]
    assert not faults, faults


@when("another writer leaves a host's row with {oddity}")
def leave_row(context, oddity):
    fields = {"table": "hosts", "key": "0-odd", "value": encode_value(_ODD_ROWS[oddity])}
    call(context.relays.store, "POST", "store", "/_put", body=json.dumps(fields).encode())


@when("all nodes are killed and started again")
def restart_all(context):
    relays = context.relays
    for name in relays.names:
        relays.signal(f"node-{name}", signal.SIGKILL)
        relays.wait_end(f"node-{name}")
    context.lines_before = {name: len(relays.log_lines(f"node-{name}")) for name in relays.names}
    for name in relays.names:
        # Only a node that doesn't start with the whole system reads the rows at once.
        with open(relays.settings_path(name), "a", encoding="utf-8") as settings:
            settings.write("self.bootstrap=false\n")
        relays.run_node(name)


@then("each has heard all others within {seconds:d} s")
def check_heard(context, seconds):
    relays = context.relays

    def has_heard_all(name):
        lines = relays.log_lines(f"node-{name}")[context.lines_before[name] :]
        heard = [json.loads(line) for line in lines if '"host_heard"' in line]
        return {line["name"] for line in heard} >= set(relays.names) - {name}

    relays.wait_until(lambda: all(map(has_heard_all, relays.names)), seconds)


@when('another writer sends "{name}" a heartbeat with {oddity}')
def send_heartbeat(context, name, oddity):
    relays = context.relays
    context.target = name
    instance = "i-odd" if "id" not in oddity.split() else "i-odd\r\nX: 1"
    fields = {**_HEARTBEAT, "addr": relays.address("target", name), **_ODD_FIELDS.get(oddity, {})}
    body = nest(b"[") if oddity == "very deep nesting" else json.dumps(fields).encode()
    path = f"/api/instances/{quote(instance)}"
    context.answer = call(relays.address("heartbeats", name), "PUT", "node", path, body=body)


@then("it is refused as not understood")
def check_not_understood(context):
    assert context.answer.status == 400, context.answer


@then('the target of "{name}" is in use {seconds:d} s later')
def check_in_use(context, name, seconds):
    time.sleep(seconds)
    relays = context.relays
    instance = f"i-{name}-{relays.pid(f'target-{name}')}"
    lines = relays.events(name, "target")
    assert lines[-1]["accepting"] and lines[-1]["instance"] == instance, lines[-1]


def _read_document(rng):
    names = ("type", "meta", "name", "spec", "service", "split", "weight", "priority", "attempts")
    tenant = {"t": {"api_keys": ["k"], "rate_per_s": 5, "burst": 5, "priority": 1}}
    valid = make_document(7, organisations=tenant)
    data = render_json(rng, corrupt(rng, valid, names))
    try:
        config = read_document(data)
    except ProtocolError:
        return
    _check_numbers([config.version, *config.limits])
    for route in config.routes:
        _check_numbers([route.timeout_s, route.objective_s, route.priority, route.attempts])
        _check_numbers([weighted.weight for weighted in route.weighted_services])
        assert all(isinstance(one.service, str) for one in route.weighted_services), route
        assert isinstance(route.host, str) and isinstance(route.name, str), route
    for service in config.services.values():
        assert isinstance(service.health_path, str), service


def _read_evacuations(rng):
    key = rng.choice(("evacuate/a", "evacuate/", "config", "evacuate/\x00", "é"))
    read_evacuations([StoredRow(key, rng.randbytes(9), rng.randrange(99))])


def _read_heartbeat(rng):
    valid = {**_HEARTBEAT, "addr": "127.0.0.1:80"}
    data = render_json(rng, corrupt(rng, valid, tuple(valid)))
    path = "/api/instances/" + rng.choice(("i-1", "%0d%0a", "%ff", "%00", "a/b", "i" * 9000))
    parsed = parse_request(rng.choice(("PUT", "DELETE", "GET")), path, data)
    if isinstance(parsed, tuple) and hasattr(parsed, "slots"):
        numbers = [parsed.sequence, parsed.slots, parsed.warming_s, parsed.started_ms or 0]
        _check_numbers(numbers)
        assert parsed.instance.isprintable(), parsed


def _read_store_response(rng):
    row = {"table": "op", "part": "", "key": "config", "ver": 3, "value": "aGk="}
    valid = {"rows": [row, {**row, "key": "good"}], "ver": 4, "now_s": 1.5, "truncated": False}
    data = render_json(rng, corrupt(rng, valid, tuple(row)))
    result = parse_response(data)
    assert isinstance(result, StoreRows | StoreFailure)
    if isinstance(result, StoreRows):
        _check_numbers([result.version, *(one.version for one in result.rows)])
        assert all(isinstance(one.key, str) for one in result.rows), result
        assert all(isinstance(one.value, bytes) for one in result.rows), result


def _read_host_row(rng):
    value = rng.choice(("127.0.0.1:80", choose_value(rng, ("a",))))
    address = parse_address(rng.choice((render_cbor(rng, value), None, rng.randbytes(9))))
    if address is not None:
        _, _, port = address.rpartition(":")
        assert 0 < int(port) < 65536, address


_STATUS = HostStatus(
    *("a", "inc", 1, "fd", "127.0.0.1:80", "counter", "i-1", True, 0.0, 9, 0, 0),
    *(1.0, 0.1, 0.0, 7, False, 1, 0.2, (("f", 1),)),
)


def _read_datagram(rng):
    kind = rng.choice(range(12)) if rng.random() < 0.5 else rng.choice((20, 21))
    if rng.random() < 0.5:
        fields = cbor2.loads(encode_datagram(_STATUS))
    else:
        fields = [kind, *(choose_value(rng, ("a",)) for _ in range(rng.randrange(16)))]
    data = render_cbor(rng, corrupt(rng, fields, ("a",)))
    message = decode_datagram(data, lambda incarnation: _STATUS if incarnation else None)
    if isinstance(message, HostStatus):
        numbers = [value for value in message if isinstance(value, int | float)]
        _check_numbers(numbers)


_MESSAGES = (
    RelayMessage(1, 1.0, "s", True, 1, 1.0, 1.0, 1.0, 0, "r", "c", "GET", b"/", (), b""),
    RelayRefusedMessage(1, 201, "r", "NOT_RUN", 0.0, False),
    ConfigReplyMessage(1, 7, None, (1, 1, {"fd-a": 1})),
)


def _read_message(rng):
    fields = cbor2.loads(encode_message(rng.choice(_MESSAGES)))
    if rng.random() < 0.3:
        fields[0] = rng.choice(range(62))
    try:
        decode_message(render_cbor(rng, corrupt(rng, fields, ("a",))))
    except ProtocolError:
        return


_HEADER_VALUES = (
    b"",
    b"1",
    b"9" * 400,
    b"nan",
    b"inf",
    b"-1",
    b"1,2,3",
    b"1,2,1e400",
    b"\xb2",
    b"x",
)


def _read_target_head(rng):
    names = (b"instance-load", b"cold-ms", b"server-limit", b"keep-alive", b"server-leaving")
    headers = [(name, rng.choice(_HEADER_VALUES)) for name in names]
    headers.append((b"keep-alive", b"timeout=" + rng.choice(_HEADER_VALUES)))
    metadata = parse_target(rng.choice((200, 421, 503)), headers)
    _check_numbers([value for value in metadata if isinstance(value, int | float)])


def _read_caller_head(rng):
    names = (b"request-id", b"deadline-ms", b"key", b"host")
    metadata = parse_caller([(name, rng.choice(_HEADER_VALUES)) for name in names])
    _check_numbers([metadata.timeout_s or 0])


def _read_settings(rng):
    names = ("self.ip", "self.node", "self.zone", "self.service", "self.app_addr")
    names += tuple(f"network.listen.{one}" for one in ("inbound", "outbound", "ready", "control"))
    names += ("platform.platform.addr", "network.port_range", "terms.bounds.grace_s")
    names += tuple(f"terms.bounds.{one}" for one in ("retry_ratio", "retry_slack"))
    names += ("terms.bounds.retry_window_s", "terms.bounds.probes_per_s", "self.limits.link_mbps")
    values = {name: "127.0.0.1:80" if "addr" in name or "listen" in name else "5" for name in names}
    values |= {"network.port_range": "7600,7615", "self.ip": "127.0.0.1"}
    odd = ("²", "127.0.0.1:²", "nan", "inf", "1e999", "9" * 5000, "127.0.0.1:" + "9" * 5000, "x")
    for _ in range(rng.randrange(3)):
        values[rng.choice(names)] = rng.choice(odd)
    try:
        settings = parse_settings("\n".join(f"{name}={value}" for name, value in values.items()))
    except SettingsError:
        return
    _check_numbers([settings.grace_s, settings.probes_per_s, *settings.retry])
    _check_numbers([settings.link_mbps or 0, settings.addresses.datagrams.port])


_PARSERS = {
    "the document's parser": _read_document,
    "the parser of evacuations": _read_evacuations,
    "the parser of heartbeats": _read_heartbeat,
    "the parser of store responses": _read_store_response,
    "the parser of hosts' rows": _read_host_row,
    "the parser of datagrams": _read_datagram,
    "the parser of link messages": _read_message,
    "the parser of targets' heads": _read_target_head,
    "the parser of callers' heads": _read_caller_head,
    "the parser of settings": _read_settings,
}


def _check_numbers(numbers):
    for number in numbers:
        assert -_MAX_NUMBER <= number <= _MAX_NUMBER, number


@then("{parser} reads {count:d} random values without an unexpected exception")
def check_parser(context, parser, count):
    for seed in range(count):
        try:
            _PARSERS[parser](random.Random(seed))
        except Exception as error:
            raise AssertionError(f"seed {seed}: {type(error).__name__}: {error}") from error
