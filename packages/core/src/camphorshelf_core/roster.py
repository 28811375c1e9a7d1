"""Records of the system's members and their targets, and of entries that all nodes share."""

from enum import IntEnum
from typing import NamedTuple

import cbor2

from .decoding import MALFORMED_ERRORS
from .errors import ProtocolError


class MemberState(IntEnum):
    """A member's state; of two otherwise equal records the one with the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Announcement(NamedTuple):
    """What a target announces about itself to the node beside it."""

    service: str
    address: str
    slots: int


class Member(NamedTuple):
    """One node's record.

    ``generation`` increases with each start of the node's process, so a replaced host's record is
    never taken for that of its predecessor with the same name or address. ``revision`` increases
    within one process when its target changes or when it refutes a suspicion.
    """

    node: str
    generation: int
    revision: int
    state: MemberState
    incarnation: str
    address: str
    failure_domain: str
    target: Announcement | None

    @property
    def order(self):
        """The sort key that decides which of two records is newer."""
        return self.generation, self.revision, self.state

    @property
    def in_use(self):
        """Whether the member may be given work."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


class Entry(NamedTuple):
    """A small versioned value that is spread to every node; the greater version wins."""

    topic: str
    key: str
    version: int
    value: object


def pack_member(member):
    """Encode a member's record.

    :param member: the :class:`Member`.
    :return: its CBOR form.
    """
    target = None if member.target is None else tuple(member.target)
    return cbor2.dumps((*member[:3], int(member.state), *member[4:7], target))


def unpack_member(data):
    """Decode a member's record.

    :param data: its CBOR form.
    :return: the :class:`Member`.
    :raises ProtocolError: when the bytes are not a member's record.
    """
    try:
        *fields, target = cbor2.loads(data)
        member = Member(*fields, None if target is None else Announcement(*target))
        return member._replace(state=MemberState(member.state))
    except MALFORMED_ERRORS as error:
        raise ProtocolError(f"invalid member record: {error}") from error


def pack_entry(entry):
    """Encode an entry.

    :param entry: the :class:`Entry`.
    :return: its CBOR form.
    """
    return cbor2.dumps(tuple(entry))


def unpack_entry(data):
    """Decode an entry.

    :param data: its CBOR form.
    :return: the :class:`Entry`.
    :raises ProtocolError: when the bytes are not an entry.
    """
    try:
        entry = Entry(*cbor2.loads(data))
    except MALFORMED_ERRORS as error:
        raise ProtocolError(f"invalid entry: {error}") from error
    if not isinstance(entry.version, int):
        raise ProtocolError(f"an entry's version is a {type(entry.version).__name__}, not an int")
    return entry
