"""The members of the system, the targets beside them and which record of one is newer."""

from enum import IntEnum
from typing import NamedTuple

import cbor2

from .errors import ProtocolError


class MemberState(IntEnum):
    """What is believed of a member; of two equal records the greater state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Announcement(NamedTuple):
    """What a target says of itself to the node beside it."""

    service: str
    address: str
    slots: int


class Member(NamedTuple):
    """One node's record.

    ``generation`` grows with each start of the node's process, so the record of a replaced host
    at the same name or address is never taken for that of its forerunner. ``revision`` grows
    within one process, when its target changes or when it contradicts a suspicion.
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
        """What decides which of two records is newer."""
        return self.generation, self.revision, self.state

    @property
    def in_use(self):
        """Whether the member may be given work."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


class Entry(NamedTuple):
    """A small versioned fact that every node should hear of; the greater version wins."""

    topic: str
    key: str
    version: int
    value: object


def pack_member(member):
    """Turn a record into bytes.

    :param member: the :class:`Member`.
    :return: its CBOR form.
    """
    target = None if member.target is None else tuple(member.target)
    return cbor2.dumps((*member[:3], int(member.state), *member[4:7], target))


def unpack_member(data):
    """Read a record.

    :param data: its CBOR form.
    :return: the :class:`Member`.
    :raises ProtocolError: when the bytes are no record.
    """
    try:
        *fields, target = cbor2.loads(data)
        member = Member(*fields, None if target is None else Announcement(*target))
        return member._replace(state=MemberState(member.state))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ProtocolError(f"not a member's record: {error}") from error


def pack_entry(entry):
    """Turn an entry into bytes.

    :param entry: the :class:`Entry`.
    :return: its CBOR form.
    """
    return cbor2.dumps(tuple(entry))


def unpack_entry(data):
    """Read an entry.

    :param data: its CBOR form.
    :return: the :class:`Entry`.
    :raises ProtocolError: when the bytes are no entry.
    """
    try:
        entry = Entry(*cbor2.loads(data))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        raise ProtocolError(f"not an entry: {error}") from error
    if not isinstance(entry.version, int):
        raise ProtocolError("an entry's version must be a whole number")
    return entry
