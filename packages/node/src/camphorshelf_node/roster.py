"""Indexes the members by the service of their target."""


class Roster:
    """The members in use that have a target, by service."""

    def __init__(self, gossip):
        self._services = {}
        gossip.on_member(self._on_member)

    def has_service(self, service):
        """Return whether any target serves a service.

        :param service: the service's name.
        :return: True or False.
        """
        return service in self._services

    def services(self):
        """List the services with at least one target.

        :return: a list of service names.
        """
        return list(self._services)

    def members(self, service):
        """List the members whose target serves a service.

        :param service: the service's name.
        :return: a list of :class:`~camphorshelf_core.roster.Member`.
        """
        return list(self._services.get(service, {}).values())

    def _on_member(self, old, new):
        if old is not None and old.target is not None:
            members = self._services.get(old.target.service, {})
            members.pop(old.node, None)
            if not members:
                self._services.pop(old.target.service, None)
        if new.in_use and new.target is not None:
            self._services.setdefault(new.target.service, {})[new.node] = new
