"""The datagrams between hosts: statuses, probes and news.

A status has two forms. A whole one is mostly names that never change. The short one has the few
numbers that change often; who has not heard a whole one of that incarnation and revision cannot use
it and probes for the whole one.
"""

from typing import NamedTuple

import cbor2

from .failuredetector import Suspicion
from .hosts import HostStatus, is_address

_WHOLE, _SHORT, _STATUS_REQUEST, _GREETING, _NEWS, _SUSPICION = range(6)
_PROBE_REQUEST, _ADDRESSES_REQUEST, _ADDRESSES = range(6, 9)
_HUNDREDTHS, _THOUSANDTHS = 100, 1000
_SHORT_FIELDS = 14
_MAX_CRASHES = 16
_ADDRESSES_PER_DATAGRAM = 60
# Where the numbers of a whole status stand, apart from its sequence.
_NUMBERS = slice(HostStatus._fields.index("accepting"), HostStatus._fields.index("crashes"))


class StatusRequest(NamedTuple):
    """Probes a host for its status of this moment.

    :param incarnation: the process that the prober knows; empty when it knows none.
    :param revision: the revision of its status that the prober knows, so that a short form will do.
    :param is_suspected: whether the prober takes the host for dead.
    """

    incarnation: str
    revision: int
    is_suspected: bool


class Greeting(NamedTuple):
    """A host's status, sent to one that it has not heard; asks for an answer.

    :param status: the :class:`~camphorshelf_core.hosts.HostStatus`.
    """

    status: HostStatus


class MemberUpdates(NamedTuple):
    """What members should know at once.

    :param must_forward: whether the receiver has to tell its failure domain.
    :param items: statuses and :class:`~camphorshelf_core.failuredetector.Suspicion`.
    """

    must_forward: bool
    items: tuple


class ProbeRequest(NamedTuple):
    """Asks a member to probe another one.

    :param address: who is to be probed.
    """

    address: str


class AddressesRequest(NamedTuple):
    """Asks a member which hosts it knows."""


class Addresses(NamedTuple):
    """Some of the hosts that a member knows.

    :param total: how many it knows.
    :param addresses: links' addresses, as many as a datagram holds.
    """

    total: int
    addresses: tuple


class UnresolvedShortStatus(NamedTuple):
    """A short status whose whole form is not known here."""


def encode(message):
    """Turn a message into the bytes of a datagram.

    :param message: a status in its whole form, or any other message of this module.
    :return: the bytes.
    """
    return cbor2.dumps(_to_fields(message))


def encode_short_status(status):
    """Turn what changes often into the bytes of a datagram.

    :param status: the :class:`~camphorshelf_core.hosts.HostStatus`.
    :return: the bytes.
    """
    return cbor2.dumps(
        (
            _SHORT,
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
    """Tell whether the short form says all that has changed between two statuses.

    :param status: a :class:`~camphorshelf_core.hosts.HostStatus`.
    :param other: an earlier one of the same host.
    :return: True or False.
    """
    return _names(status) == _names(other)


def decode(data, find):
    """Read a datagram.

    :param data: its bytes.
    :param find: takes an incarnation and gives the last status held of it, or None.
    :return: a :class:`~camphorshelf_core.hosts.HostStatus` or another message of this module; None
        when it is neither.
    """
    try:
        kind, *fields = cbor2.loads(data)
        if kind == _SHORT and len(fields) == _SHORT_FIELDS and _are_numbers(fields[1:]):
            return _fill_in(find(fields[0]), fields)
        if kind == _NEWS and len(fields) == 2:
            return _read_news(*fields)
        return _from_fields(kind, fields)
    except (cbor2.CBORDecodeError, TypeError, ValueError):
        return None


def _to_fields(message):
    if isinstance(message, HostStatus):
        return (_WHOLE, *message)
    if isinstance(message, Greeting):
        return (_GREETING, *message.status)
    if isinstance(message, MemberUpdates):
        return (_NEWS, message.must_forward, [_to_fields(item) for item in message.items])
    return (_KINDS[type(message)], *message)


def _read_news(must_forward, entries):
    items = [_from_fields(entry[0], entry[1:]) for entry in entries]
    if not all(isinstance(item, HostStatus | Suspicion) for item in items):
        return None
    return MemberUpdates(bool(must_forward), tuple(items))


def _from_fields(kind, fields):
    if kind in (_WHOLE, _GREETING):
        status = _check_whole(HostStatus(*fields))
        return Greeting(status) if status is not None and kind == _GREETING else status
    read = _READERS.get(kind)
    return read(*fields) if read is not None else None


def _read_status_request(incarnation, revision, is_suspected):
    if isinstance(incarnation, str) and isinstance(revision, int):
        return StatusRequest(incarnation, revision, bool(is_suspected))
    return None


def _read_suspicion(address, incarnation):
    if is_address(address) and isinstance(incarnation, str):
        return Suspicion(address, incarnation)
    return None


def _read_probe_request(address):
    return ProbeRequest(address) if is_address(address) else None


def _read_addresses(total, addresses):
    if isinstance(total, int) and all(map(is_address, addresses)):
        return Addresses(total, tuple(addresses))
    return None


def split_addresses(known):
    """Split the known addresses into messages to a member that knows nobody.

    :param known: the links' addresses.
    :return: a list of :class:`Addresses`.
    """
    return [
        Addresses(len(known), tuple(known[first : first + _ADDRESSES_PER_DATAGRAM]))
        for first in range(0, len(known), _ADDRESSES_PER_DATAGRAM)
    ]


def _fill_in(held, fields):
    _, sequence, revision, accepting, limit, running, queued, *rest = fields
    slowness, work, failing, version, lacks_store_access, start_wait, evacuation_version = rest
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
        failure_ratio=failing / _THOUSANDTHS,
        config_version=version,
        lacks_store_access=bool(lacks_store_access),
        start_wait_s=start_wait / _THOUSANDTHS,
        evacuation_version=evacuation_version,
    )


def _names(status):
    return status.instance, status.service, status.crashes, status.warming_s > 0, status.push_interval_s


def _check_whole(status):
    texts = status.host, status.incarnation, status.domain, status.address, status.service
    if not all(isinstance(text, str) for text in (*texts, status.instance)):
        return None
    numbers = *status[_NUMBERS], status.sequence, status.start_wait_s, status.evacuation_version
    if not _are_numbers(numbers):
        return None
    if len(status.crashes) > _MAX_CRASHES or not all(map(_is_crash, status.crashes)):
        return None
    if not is_address(status.address):
        return None
    return status._replace(crashes=tuple((name, count) for name, count in status.crashes))


def _are_numbers(values):
    return all(isinstance(value, int | float) for value in values)


def _is_crash(value):
    return (
        isinstance(value, list | tuple)
        and len(value) == 2
        and isinstance(value[0], str)
        and isinstance(value[1], int)
    )


_KINDS = {
    StatusRequest: _STATUS_REQUEST,
    Suspicion: _SUSPICION,
    ProbeRequest: _PROBE_REQUEST,
    AddressesRequest: _ADDRESSES_REQUEST,
    Addresses: _ADDRESSES,
}
_READERS = {
    _STATUS_REQUEST: _read_status_request,
    _SUSPICION: _read_suspicion,
    _PROBE_REQUEST: _read_probe_request,
    _ADDRESSES_REQUEST: AddressesRequest,
    _ADDRESSES: _read_addresses,
}
