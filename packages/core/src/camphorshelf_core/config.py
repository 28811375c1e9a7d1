"""The configuration document: one immutable body per version, identified by its digest."""

import hashlib
from typing import NamedTuple

import cbor2

from .decoding import MALFORMED_ERRORS
from .errors import ProtocolError

TAKE = "take"
LEAVE = "leave"
FULL_WEIGHT = 100
# Each body lists this many earlier versions. A plan confirmed in the last days is then found in a
# few reads, without an index that would have to be written together with the head row.
RECENT_VERSIONS = 64


class TargetIntent(NamedTuple):
    """The desired state of one target: whether it takes calls, and its weight in percent."""

    state: str = TAKE
    weight: int = FULL_WEIGHT


class ServiceConfig(NamedTuple):
    """The configuration of one service.

    :param owner: the team that owns the service.
    :param targets: the :class:`TargetIntent` by name of the target.
    :param idempotent: whether a method is idempotent, by method.
    :param classes: the class of the calls, by method.
    :param shares: the percentage of the slots that a caller may hold, by caller.
    :param domains: ``LEAVE`` for each failure domain whose targets should leave, by domain.
    """

    owner: str
    targets: dict[str, TargetIntent] = {}
    idempotent: dict[str, bool] = {}
    classes: dict[str, str] = {}
    shares: dict[str, int] = {}
    domains: dict[str, str] = {}


class Change(NamedTuple):
    """One difference between two versions; None means that the value isn't configured."""

    service: str
    field: str
    name: str
    before: object
    after: object


class ConfirmedVersion(NamedTuple):
    """A confirmed version: its number, the digest of its plan and the digest of its body."""

    version: int
    plan: str
    digest: str


class Document(NamedTuple):
    """One version of the configuration."""

    version: int = 0
    plan: str = ""
    planned_by: str = ""
    planned_at: int = 0
    confirmed_by: tuple[str, ...] = ()
    changes: tuple[Change, ...] = ()
    recent: tuple[ConfirmedVersion, ...] = ()
    services: dict[str, ServiceConfig] = {}


class Head(NamedTuple):
    """The row that names the version in force; only this row is replaced, by compare-and-set."""

    version: int
    digest: str
    plan: str


def sha256_hex(data):
    """Compute the digest that identifies a body or plan.

    :param data: the bytes of the body or plan.
    :return: SHA-256 in hexadecimal.
    """
    return hashlib.sha256(data).hexdigest()


def encode_document(document):
    """Encode a document; the bytes are the same on every node.

    :param document: the :class:`Document`.
    :return: canonical CBOR.
    """
    return cbor2.dumps(document, canonical=True)


def decode_document(data):
    """Decode a document.

    :param data: the bytes returned by :func:`encode_document`.
    :return: the :class:`Document`.
    :raises ProtocolError: if the bytes aren't a valid document.
    """
    try:
        document = Document(*cbor2.loads(data))
        return document._replace(
            confirmed_by=tuple(document.confirmed_by),
            changes=tuple(Change(*change) for change in document.changes),
            recent=tuple(ConfirmedVersion(*entry) for entry in document.recent),
            services={name: _decode_service(fields) for name, fields in document.services.items()},
        )
    except MALFORMED_ERRORS as error:
        raise ProtocolError(f"invalid configuration document: {error}") from error


def encode_head(head):
    """Encode the head row.

    :param head: the :class:`Head`.
    :return: canonical CBOR.
    """
    return cbor2.dumps(head, canonical=True)


def decode_head(data):
    """Decode the head row.

    :param data: the row's bytes, or None if there is no row yet.
    :return: the :class:`Head`; version 0 is the empty configuration.
    :raises ProtocolError: if the bytes aren't a valid head row.
    """
    if data is None:
        return EMPTY_HEAD
    try:
        return Head(*cbor2.loads(data))
    except MALFORMED_ERRORS as error:
        raise ProtocolError(f"invalid head row: {error}") from error


def _decode_service(fields):
    owner, targets, *rest = fields
    targets = {name: TargetIntent(*intent) for name, intent in targets.items()}
    return ServiceConfig(owner, targets, *rest)


EMPTY_DOCUMENT = Document()
EMPTY_BODY = encode_document(EMPTY_DOCUMENT)
EMPTY_HEAD = Head(0, sha256_hex(EMPTY_BODY), "")
