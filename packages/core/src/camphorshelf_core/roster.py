"""The members of the system and the targets beside them."""

from typing import NamedTuple


class Announcement(NamedTuple):
    """What a target says of itself to the node beside it."""

    service: str
    address: str
    slots: int


class Member(NamedTuple):
    """One node, where its peers reach it, and its target."""

    node: str
    incarnation: str
    address: str
    failure_domain: str
    target: Announcement
