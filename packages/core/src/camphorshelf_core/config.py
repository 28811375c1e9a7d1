"""The configuration document: one immutable body per version, known by its digest."""

import hashlib
from typing import NamedTuple

import cbor2

from .errors import ProtocolError

TAKE = "take"
LEAVE = "leave"
FULL_WEIGHT = 100
# A body names this many versions before it, so that a plan of the last days is found in a few
# reads without an index that would have to be written together with the head row.
RECENT_VERSIONS = 64


class TargetIntent(NamedTuple):
    """What operators want of one target."""

    state: str = TAKE
    weight: int = FULL_WEIGHT


class ServiceConfig(NamedTuple):
    """Everything that operators have said about one service.

    :param owner: the team that it belongs to.
    :param targets: the intents for single targets, by name.
    :param idempotent: whether its methods are idempotent, by method.
    :param classes: the class of its calls, by method.
    :param shares: how many of a hundred of its slots a caller may hold, by caller.
    :param domains: the state of all its targets in a failure domain, by domain, where they leave.
    """

    owner: str
    targets: dict[str, TargetIntent] = {}
    idempotent: dict[str, bool] = {}
    classes: dict[str, str] = {}
    shares: dict[str, int] = {}
    domains: dict[str, str] = {}


class Change(NamedTuple):
    """One difference between two versions; None stands for nothing said."""

    service: str
    field: str
    name: str
    before: object
    after: object


class ConfirmedVersion(NamedTuple):
    """One confirmed version: its number, its plan and its body, the last two by digest."""

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
    """The row that says which version is in force; the only one ever compared and set."""

    version: int
    digest: str
    plan: str


def sha256_hex(data):
    """Give the name of a body or plan.

    :param data: its bytes.
    :return: SHA-256 in hex.
    """
    return hashlib.sha256(data).hexdigest()


def encode_document(document):
    """Turn a document into bytes that are the same on every node.

    :param document: the :class:`Document`.
    :return: canonical CBOR.
    """
    return cbor2.dumps(document, canonical=True)


def decode_document(data):
    """Read a document.

    :param data: what :func:`encode_document` gave.
    :return: the :class:`Document`.
    :raises ProtocolError: when the bytes are no document.
    """
    try:
        document = Document(*cbor2.loads(data))
        return document._replace(
            confirmed_by=tuple(document.confirmed_by),
            changes=tuple(Change(*change) for change in document.changes),
            recent=tuple(ConfirmedVersion(*entry) for entry in document.recent),
            services={name: _service(fields) for name, fields in document.services.items()},
        )
    except (cbor2.CBORDecodeError, TypeError, ValueError, AttributeError) as error:
        raise ProtocolError(f"not a configuration: {error}") from error


def encode_head(head):
    """Turn the head row into bytes.

    :param head: the :class:`Head`.
    :return: canonical CBOR.
    """
    return cbor2.dumps(head, canonical=True)


def decode_head(data):
    """Read the head row.

    :param data: the row's bytes, or None when there is no row yet.
    :return: the :class:`Head`; version 0 stands for the empty configuration.
    :raises ProtocolError: when the bytes are no head row.
    """
    if data is None:
        return EMPTY_HEAD
    try:
        return Head(*cbor2.loads(data))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ProtocolError(f"not a head row: {error}") from error


def _service(fields):
    owner, targets, *rest = fields
    targets = {name: TargetIntent(*intent) for name, intent in targets.items()}
    return ServiceConfig(owner, targets, *rest)


EMPTY_DOCUMENT = Document()
EMPTY_BODY = encode_document(EMPTY_DOCUMENT)
EMPTY_HEAD = Head(0, sha256_hex(EMPTY_BODY), "")
