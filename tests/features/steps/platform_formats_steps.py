"""Steps that parse valid and invalid settings, documents and headers of the platform."""

import json
import platform

from behave import given, then, when

from camphorshelf_core.errors import Code, ProtocolError, Ran, Refusal
from camphorshelf_platform.documents import read_document, read_evacuations
from camphorshelf_platform.headers import build_refusal, parse_target
from camphorshelf_platform.settings import SettingsError, parse_settings
from camphorshelf_relay.storeport import StoredRow
from standins.relays import make_document

_VALID_SETTINGS = """
self.node=side-a-1
self.ip=10.1.0.41
self.zone=a
self.service=counter
self.app_addr=10.1.0.41:8628
network.listen.inbound=10.1.0.41:8624
network.listen.outbound=10.1.0.41:8629
network.listen.ready=10.1.0.41:8625
network.listen.control=10.1.0.41:8620
network.port_range=7600,7615
platform.platform.addr=10.200.1.7:8627
terms.bounds.grace_s=6
terms.bounds.retry_ratio=0.2
terms.bounds.retry_window_s=10
terms.bounds.retry_slack=60
terms.bounds.probes_per_s=60
"""


@given("valid settings of the platform")
def give_settings(context):
    context.settings = _VALID_SETTINGS


@then("they are parsed")
def check_parsed(context):
    settings = parse_settings(context.settings)
    assert settings.name == "side-a-1" and settings.addresses.target == ("10.1.0.41", 8628)
    assert settings.addresses.datagrams == ("10.1.0.41", 7600)


def _read_error(text):
    try:
        parse_settings(text)
    except SettingsError as error:
        return str(error)
    raise AssertionError("the settings were accepted")


@then('without "{name}" the error names "{named}"')
def check_error_without(context, name, named):
    lines = [line for line in context.settings.splitlines() if not line.startswith(name)]
    assert named in _read_error("\n".join(lines))


@then('with "{line}" the error names "{named}"')
def check_error_with(context, line, named):
    assert named in _read_error(context.settings + line + "\n")


@then('with "{line}" they are parsed')
def check_parsed_with(context, line):
    parse_settings(context.settings + line + "\n")


@then('with "{lines}" a change may be unknown for {seconds:g} s')
def check_contact_limit(context, lines, seconds):
    settings = parse_settings(context.settings + "\n".join(lines.split()) + "\n")
    assert settings.contact_limit_s == seconds, settings


@then('with "" a change may be unknown for {seconds:g} s')
def check_default_contact_limit(context, seconds):
    assert parse_settings(context.settings).contact_limit_s == seconds


@then('with "{line}" the rate of its link is {rate}')
def check_link_rate(context, line, rate):
    settings = parse_settings(context.settings + line + "\n")
    assert settings.link_mbps == (None if rate == "None" else float(rate)), settings


@then('with "" the rate of its link is None')
def check_no_link_rate(context):
    check_link_rate(context, "", "None")


@when('the operators\' document has a route of kind "{kind}"')
def give_kind(context, kind):
    (context.route,) = read_document(json.dumps(_route(kind=kind))).routes


@then("its responses are {size}")
def check_route_size(context, size):
    assert context.route.is_large is (size == "large"), context.route


def _route(**changes):
    return make_document(9, {"/look/": {"service": "counter", "kind": "idempotent", **changes}})


def _document_with(**terms):
    document = _route()
    for entry in document["resources"]:
        if entry["type"] == "services":
            entry["spec"].update(terms)
    return document


_FAULTS = {
    "half of its bytes": lambda: json.dumps(_route())[:200],
    "a route without a host": lambda: json.dumps(_route(host="")),
    "a prefix without a slash": lambda: json.dumps(_route(prefix="look")),
    "an unknown service": lambda: json.dumps(_route(service="nobody")),
    "a timeout of 0": lambda: json.dumps(_route(timeout_s=0)),
    "a text as version": lambda: json.dumps({**_route(), "version": "9"}),
    "a cold rate below 0": lambda: json.dumps(_document_with(cold_per_s=-1)),
    "a text as cold rate": lambda: json.dumps(_document_with(cold_per_s="7")),
    "an empty split": lambda: json.dumps(_route(service=None, split=[])),
}


@when("the operators' document has {fault}")
def give_invalid_document(context, fault):
    context.document = _FAULTS[fault]().encode()


@then("it is rejected")
def check_rejected(context):
    try:
        read_document(context.document)
    except ProtocolError:
        return
    raise AssertionError("the document was accepted")


@then('with "{line}" a cold target gets {factor:f} times its rate')
def check_factor(context, line, factor):
    assert parse_settings(context.settings).warm_up.factor == 1.0
    assert parse_settings(context.settings + line + "\n").warm_up.factor == factor


@when("the operators' document allows cold targets {rate:f} requests a second for {seconds:f} s")
def give_cold_terms(context, rate, seconds):
    context.cold_terms = rate, seconds
    document = _document_with(cold_per_s=rate, cold_s=seconds)
    context.routing = read_document(json.dumps(document).encode())


@then("the service has that rate and time")
def check_cold_terms(context):
    terms = context.routing.services["counter"]
    assert (terms.cold_rate_per_s, terms.cold_s) == context.cold_terms, terms


@when('a target\'s header cold-ms is "{value}"')
def read_cold_header(context, value):
    context.metadata = parse_target(200, [(b"cold-ms", value.encode())])


@then("it is cold for {seconds} s")
def check_cold_time(context, seconds):
    assert str(context.metadata.cold_left_s) == seconds, context.metadata


@when('a target\'s headers server-limit are "{values}"')
def read_rate_limit(context, values):
    headers = [(b"server-limit", value.strip().encode()) for value in values.split(";")]
    context.metadata = parse_target(200, headers)


@when('a target\'s headers server-limit are ""')
def read_empty_rate_limit(context):
    read_rate_limit(context, "")


@when("a target's headers are empty")
def read_no_headers(context):
    context.metadata = parse_target(200, ())


@then("its rate limit is {per_s} a second and the header is {validity}")
def check_rate_limit(context, per_s, validity):
    assert str(context.metadata.rate_limit_per_s) == per_s, context.metadata
    assert context.metadata.is_rate_limit_invalid == (validity == "invalid"), context.metadata


@when('a target\'s header server-leaving is "{value}"')
def read_leaving(context, value):
    context.metadata = parse_target(200, [(b"server-leaving", value.encode())])


@then("it {state:w}")
def check_leaving(context, state):
    assert context.metadata.is_leaving == (state == "leaves"), context.metadata


@when('the operators\' rows are "{keys}"')
def read_rows(context, keys):
    rows = [StoredRow(key, b"", number) for number, key in enumerate(keys.split(", "))]
    context.evacuated = read_evacuations(rows)


@then('the failure domains "{names}" are evacuated')
def check_evacuated(context, names):
    assert list(context.evacuated) == names.split(", "), context.evacuated


@when("the operators' document splits a route {weights}")
def split_route(context, weights):
    numbers = [int(part) for part in weights.replace(" and", ",").split(",")]
    parts = [{"service": "counter", "weight": number} for number in numbers]
    document = _route(service=None, split=parts)
    context.routing = read_document(json.dumps(document).encode())


@then("the route has {count:d} parts")
def check_parts(context, count):
    assert len(context.routing.routes[0].weighted_services) == count


@then("a refusal {code} with {ran} is answered {status:d}")
def check_status(context, code, ran, status):
    refusal = Refusal(Code[code], "why", Ran[ran])
    assert build_refusal(refusal, "r1")[0] == status, build_refusal(refusal, "r1")


@then('a refusal with {milliseconds:d} ms of Retry-After says "{text}"')
def check_retry_after(context, milliseconds, text):
    refusal = Refusal(Code.TARGET_BUSY, "why", Ran.NOT_RUN, milliseconds)
    headers = dict(build_refusal(refusal, "r1")[1])
    assert headers[b"retry-after"] == text.encode(), headers


@when('a target\'s load header is "{value}"')
def read_load_header(context, value):
    context.metadata = parse_target(200, [(b"instance-load", value.encode())])


@then("its slowness is {slowness} and it runs {running}")
def check_load(context, slowness, running):
    assert str(context.metadata.slowness) == slowness, context.metadata
    assert str(context.metadata.running) == running, context.metadata


@then('"platform" is the standard library\'s module')
def check_standard_module(context):
    assert platform.python_version().startswith("3.")
