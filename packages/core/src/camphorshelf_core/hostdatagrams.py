"""The datagrams between hosts: statuses, probes, suspicions, addresses and quotas' tokens.

A status has a full and a short form. Most of a full status are names that rarely change. The short
form has only the numbers that change often. A receiver that doesn't hold a full status of the same
incarnation and revision can't use it and probes for the full one.
"""

from typing import NamedTuple

import cbor2

from .decoding import MALFORMED_ERRORS, is_integer, is_number
from .failuredetector import Suspicion
from .hosts import HostStatus, is_address
from .quotas import TokenReply, TokenRequest

_FULL_STATUS, _SHORT_STATUS, _STATUS_REQUEST, _GREETING, _MEMBER_UPDATES, _SUSPICION = range(6)
_PROBE_REQUEST, _ADDRESSES_REQUEST, _ADDRESSES = range(6, 9)
_CONTACT_REQUEST, _CONTACT_REPORT = 20, 21
_PROBE_REQUEST, _ADDRESSES_REQUEST, _ADDRESSES, _TOKEN_REQUEST, _TOKEN_REPLY = range(6, 11)
_HUNDREDTHS, _THOUSANDTHS = 100, 1000
_SHORT_FIELD_COUNT = 14
_MAX_CRASHES = 16
_ADDRESSES_PER_DATAGRAM = 60
# A token request or reply with a number beyond this is invalid.
_MAX_TOKENS = 1_000_000
# The numeric fields of a full status, apart from its sequence and the fields after its crashes.
_NUMERIC_FIELDS = slice(HostStatus._fields.index("accepting"), HostStatus._fields.index("crashes"))


class StatusRequest(NamedTuple):
    """Probes a host for its current status.

    :param incarnation: the host's incarnation in the status that the sender holds; empty for none.
    :param revision: the revision of that status; the host responds with a short status if it is
        still the same.
    :param is_suspected: whether the sender suspects the host of having failed.
    """

    incarnation: str
    revision: int
    is_suspected: bool


class Greeting(NamedTuple):
    """A host's status, sent to a host without a known status; asks for that host's status.

    :param status: the :class:`~camphorshelf_core.hosts.HostStatus`.
    """

    status: HostStatus


class MemberUpdates(NamedTuple):
    """Statuses and suspicions that members should receive at once.

    :param must_forward: whether the receiver has to forward them in its failure domain.
    :param items: a tuple of :class:`~camphorshelf_core.hosts.HostStatus` and
        :class:`~camphorshelf_core.failuredetector.Suspicion`.
    """

    must_forward: bool
    items: tuple


class ProbeRequest(NamedTuple):
    """Asks a member to probe another one.

    :param address: the address of that member's links.
    """

    address: str


class AddressesRequest(NamedTuple):
    """Asks a member for the addresses of the hosts that it knows."""


class Addresses(NamedTuple):
    """Addresses of hosts that a member knows.

    :param total: how many hosts the member knows.
    :param addresses: the addresses of their links, as many as a datagram holds.
    """

    total: int
    addresses: tuple


class ContactRequest(NamedTuple):
    """Asks a member when it last had contact with the store."""


class ContactReport(NamedTuple):
    """How old the sender's last contact with the store is, directly or through others.

    It isn't a part of the status because older nodes drop statuses with more fields than they know.

    :param must_forward: whether the receiver has to forward it in its failure domain.
    :param config_version: the version of the configuration in force at the sender.
    :param age_ms: the age in milliseconds.
    :param evacuation_version: the version of the last change of evacuations that the sender knows;
        0 if there was none.
    """

    must_forward: bool
    config_version: int
    age_ms: int
    evacuation_version: int = 0


class UnresolvedShortStatus(NamedTuple):
    """A received short status for which no matching full status is held."""


def encode(message):
    """Encode a message as a datagram.

    :param message: a :class:`~camphorshelf_core.hosts.HostStatus`, which is encoded in its full
        form, or another message of this module.
    :return: the datagram's bytes.
    """
    return cbor2.dumps(_to_fields(message))


def encode_short_status(status):
    """Encode the short form of a status as a datagram.

    :param status: the :class:`~camphorshelf_core.hosts.HostStatus`.
    :return: the datagram's bytes.
    """
    return cbor2.dumps(
        (
            _SHORT_STATUS,
            status.incarnation,
            status.sequence,
            status.revision,
            status.accepting,
            status.limit,
            status.running,
            status.queued,
            round(status.slowness * _HUNDREDTHS),
            round(status.work_s * _THOUSANDTHS),
            round(status.failure_ratio * _THOUSANDTHS),
            status.config_version,
            status.lacks_store_access,
            round(status.start_wait_s * _THOUSANDTHS),
            status.evacuation_version,
        )
    )


def is_short_form_sufficient(status, other):
    """Tell whether the short form carries all that has changed between two statuses.

    :param status: a :class:`~camphorshelf_core.hosts.HostStatus`.
    :param other: an earlier status of the same host.
    :return: True or False.
    """
    return _full_form_fields(status) == _full_form_fields(other)


def decode(data, find_status):
    """Decode a datagram.

    :param data: the datagram's bytes.
    :param find_status: takes an incarnation and returns the last status held of it, or None.
    :return: a :class:`~camphorshelf_core.hosts.HostStatus` or another message of this module; None
        when the bytes are not a valid datagram.
    """
    try:
        kind, *fields = cbor2.loads(data)
        if kind == _SHORT_STATUS and len(fields) == _SHORT_FIELD_COUNT and _are_numbers(fields[1:]):
            return _complete_short_status(find_status(fields[0]), fields)
        if kind == _MEMBER_UPDATES and len(fields) == 2:
            return _parse_member_updates(*fields)
        return _from_fields(kind, fields)
    except MALFORMED_ERRORS:
        return None


def _to_fields(message):
    if isinstance(message, HostStatus):
        return (_FULL_STATUS, *message)
    if isinstance(message, Greeting):
        return (_GREETING, *message.status)
    if isinstance(message, MemberUpdates):
        return (_MEMBER_UPDATES, message.must_forward, [_to_fields(item) for item in message.items])
    if isinstance(message, ContactReport) and not message.evacuation_version:
        # Older nodes drop reports with more fields than they know.
        return (_CONTACT_REPORT, *message[:-1])
    return (_KINDS[type(message)], *message)


def _parse_member_updates(must_forward, encoded_items):
    items = [_from_fields(encoded[0], encoded[1:]) for encoded in encoded_items]
    if not all(isinstance(item, HostStatus | Suspicion) for item in items):
        return None
    return MemberUpdates(bool(must_forward), tuple(items))


def _from_fields(kind, fields):
    if kind in (_FULL_STATUS, _GREETING):
        status = _validate_status(HostStatus(*fields))
        return Greeting(status) if status is not None and kind == _GREETING else status
    parse = _PARSERS.get(kind)
    return parse(*fields) if parse is not None else None


def _parse_status_request(incarnation, revision, is_suspected):
    if isinstance(incarnation, str) and is_integer(revision):
        return StatusRequest(incarnation, revision, bool(is_suspected))
    return None


def _parse_suspicion(address, incarnation):
    if is_address(address) and isinstance(incarnation, str):
        return Suspicion(address, incarnation)
    return None


def _parse_probe_request(address):
    return ProbeRequest(address) if is_address(address) else None


def _parse_addresses(total, addresses):
    if is_integer(total) and all(map(is_address, addresses)):
        return Addresses(total, tuple(addresses))
    return None


def _parse_contact_report(must_forward, config_version, age_ms, evacuation_version=0):
    numbers = config_version, age_ms, evacuation_version
    if all(map(is_integer, numbers)) and age_ms >= 0:
        return ContactReport(bool(must_forward), *numbers)
    return None


def _parse_token_request(organisation, number, wanted, demand_per_s, config_version):
    are_counts = is_integer(number) and is_integer(wanted) and is_number(demand_per_s)
    if not isinstance(organisation, str) or not are_counts or not _are_numbers((config_version,)):
        return None
    if abs(wanted) > _MAX_TOKENS or not 0 <= demand_per_s <= _MAX_TOKENS:
        return None
    return TokenRequest(organisation, number, wanted, demand_per_s, config_version)


def _parse_token_reply(organisation, number, granted, wait_s, fallback_per_s):
    are_counts = is_integer(number) and is_integer(granted)
    if not isinstance(organisation, str) or not are_counts:
        return None
    if not all(0 <= value <= _MAX_TOKENS for value in (granted, wait_s, fallback_per_s)):
        return None
    return TokenReply(organisation, number, granted, wait_s, fallback_per_s)


def split_addresses(known):
    """Split the addresses of all known hosts into messages that fit into a datagram each.

    :param known: a list of the addresses of the hosts' links.
    :return: a list of :class:`Addresses`.
    """
    return [
        Addresses(len(known), tuple(known[first : first + _ADDRESSES_PER_DATAGRAM]))
        for first in range(0, len(known), _ADDRESSES_PER_DATAGRAM)
    ]


def _complete_short_status(held, fields):
    _, sequence, revision, accepting, limit, running, queued, *rest = fields
    slowness, work, failures, version, lacks_store_access, start_wait, evacuation_version = rest
    if held is None or held.revision != revision:
        return UnresolvedShortStatus()
    return held._replace(
        sequence=sequence,
        accepting=bool(accepting),
        limit=limit,
        running=running,
        queued=queued,
        slowness=slowness / _HUNDREDTHS,
        work_s=work / _THOUSANDTHS,
        failure_ratio=failures / _THOUSANDTHS,
        config_version=version,
        lacks_store_access=bool(lacks_store_access),
        start_wait_s=start_wait / _THOUSANDTHS,
        evacuation_version=evacuation_version,
    )


def _full_form_fields(status):
    return (
        status.instance,
        status.service,
        status.crashes,
        status.warming_s > 0,
        status.push_interval_s,
    )


def _validate_status(status):
    texts = status.host, status.incarnation, status.domain, status.address, status.service
    if not all(isinstance(text, str) for text in (*texts, status.instance)):
        return None
    numbers = (
        *status[_NUMERIC_FIELDS],
        status.sequence,
        status.start_wait_s,
        status.evacuation_version,
    )
    if not _are_numbers(numbers):
        return None
    if len(status.crashes) > _MAX_CRASHES or not all(map(_is_crash_count, status.crashes)):
        return None
    if not is_address(status.address):
        return None
    return status._replace(crashes=tuple((name, count) for name, count in status.crashes))


def _are_numbers(values):
    return all(isinstance(value, bool) or is_number(value) for value in values)


def _is_crash_count(value):
    return (
        isinstance(value, list | tuple)
        and len(value) == 2
        and isinstance(value[0], str)
        and is_integer(value[1])
    )


_KINDS = {
    StatusRequest: _STATUS_REQUEST,
    Suspicion: _SUSPICION,
    ProbeRequest: _PROBE_REQUEST,
    AddressesRequest: _ADDRESSES_REQUEST,
    Addresses: _ADDRESSES,
    ContactRequest: _CONTACT_REQUEST,
    ContactReport: _CONTACT_REPORT,
    TokenRequest: _TOKEN_REQUEST,
    TokenReply: _TOKEN_REPLY,
}
_PARSERS = {
    _STATUS_REQUEST: _parse_status_request,
    _SUSPICION: _parse_suspicion,
    _PROBE_REQUEST: _parse_probe_request,
    _ADDRESSES_REQUEST: AddressesRequest,
    _ADDRESSES: _parse_addresses,
    _CONTACT_REQUEST: ContactRequest,
    _CONTACT_REPORT: _parse_contact_report,
    _TOKEN_REQUEST: _parse_token_request,
    _TOKEN_REPLY: _parse_token_reply,
}
