"""The controller that knows which targets there are and where."""

import cbor2

from camphorshelf_core.roster import Announcement, Member
from camphorshelf_core.routing import Candidate

_REFRESH_SECONDS = 1.0
_PARTITION = "roster"


class Roster:
    """Keeps the members from the platform's table and what is known of their load."""

    def __init__(self, loop, settings, platform):
        self._loop = loop
        self._settings = settings
        self._platform = platform
        self._members = {}
        self._own_in_flight = {}
        self._load = {}

    def start(self):
        """Read the members now and again and again.

        :return: None.
        """
        self._refresh()
        self._loop.call_every(_REFRESH_SECONDS, self._refresh)

    def announce(self, incarnation, target):
        """Write this node's row after its target announced itself.

        :param incarnation: the node's own.
        :param target: the :class:`Announcement`.
        :return: None.
        """
        settings = self._settings
        member = Member(
            settings.name, incarnation, settings.listen.peers, settings.failure_domain, target
        )
        self._members[member.node] = member
        self._platform.put(_PARTITION, member.node, _pack(member), lambda outcome: None)

    def knows(self, service):
        """Tell whether any target serves a service.

        :param service: its name.
        :return: True or False.
        """
        return any(member.target.service == service for member in self._members.values())

    def candidates(self, service):
        """List the targets of a service with what is known of them.

        :param service: its name.
        :return: a list of :class:`Candidate`.
        """
        return [
            self._candidate(member)
            for member in self._members.values()
            if member.target.service == service
        ]

    def note_sent(self, target):
        """Count a call on its way to a target.

        :param target: the target's name.
        :return: None.
        """
        self._own_in_flight[target] = self._own_in_flight.get(target, 0) + 1

    def note_done(self, target, load):
        """Count a call as done.

        :param target: the target's name.
        :param load: the :class:`LoadReport` that came with the answer, or None.
        :return: None.
        """
        self._own_in_flight[target] -= 1
        if load is not None:
            self._load[target] = load

    def _candidate(self, member):
        load = self._load.get(member.node)
        return Candidate(
            target=member.node,
            address=member.address,
            failure_domain=member.failure_domain,
            own_in_flight=self._own_in_flight.get(member.node, 0),
            reported_in_flight=load.in_flight + load.queued if load else 0,
            slots=member.target.slots,
            leaving=load.leaving if load else False,
        )

    def _refresh(self):
        self._platform.query(_PARTITION, self._on_rows)

    def _on_rows(self, rows):
        if rows is None:
            return
        for data in rows.values():
            member = _unpack(data)
            self._members[member.node] = member


def _pack(member):
    return cbor2.dumps(tuple(member))


def _unpack(data):
    *fields, target = cbor2.loads(data)
    return Member(*fields, Announcement(*target))
