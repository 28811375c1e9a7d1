"""The controller that knows which targets there are and where."""

from camphorshelf_core.routing import Candidate


class Roster:
    """Keeps the members in use by service, and what is known of their load."""

    def __init__(self, gossip, leavers, configuration):
        self._configuration = configuration
        self._services = {}
        self._own_in_flight = {}
        self._load = {}
        self._leavers = leavers
        gossip.on_member(self._on_member)

    def knows(self, service):
        """Tell whether any target serves a service.

        :param service: its name.
        :return: True or False.
        """
        return service in self._services

    def services(self):
        """List the services that some target serves.

        :return: a list of names.
        """
        return list(self._services)

    def members(self, service):
        """List the members whose target serves a service.

        :param service: its name.
        :return: a list of :class:`~camphorshelf_core.roster.Member`.
        """
        return list(self._services.get(service, {}).values())

    def candidates(self, service):
        """List the targets of a service with what is known of them.

        :param service: its name.
        :return: a list of :class:`Candidate`.
        """
        return [self._candidate(member) for member in self.members(service)]

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
            self._leavers.note_report(target, load)

    def _candidate(self, member):
        load = self._load.get(member.node)
        return Candidate(
            target=member.node,
            address=member.address,
            failure_domain=member.failure_domain,
            own_in_flight=self._own_in_flight.get(member.node, 0),
            reported_in_flight=load.in_flight + load.queued if load else 0,
            slots=member.target.slots,
            leaving=self._is_leaving(member),
        )

    def _is_leaving(self, member):
        if self._configuration.is_leaving(member.target.service, member.node):
            return True
        return self._leavers.is_leaving(member.node)

    def _on_member(self, old, new):
        if old is not None and old.target is not None:
            members = self._services.get(old.target.service, {})
            members.pop(old.node, None)
            if not members:
                self._services.pop(old.target.service, None)
        if new.in_use and new.target is not None:
            self._services.setdefault(new.target.service, {})[new.node] = new
