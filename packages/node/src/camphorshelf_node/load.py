"""The controller that keeps what this entry node knows of each target's load and health."""

from camphorshelf_core.health import OutlierDetector
from camphorshelf_core.hedge import indicates_slow_target
from camphorshelf_core.load import LoadView
from camphorshelf_core.ramp import ShiftingWeight, ramp_share
from camphorshelf_core.routing import Candidate, sample_targets
from camphorshelf_core.spill import RoundTripEstimate
from camphorshelf_core.subset import choose_subset, subset_size

# Members heard of this soon after the node's own start were there before it: they are not cold.
_ACQUAINTANCE_SECONDS = 5.0
_FULL_WEIGHT = 100
# Beside those looked at for a call, to make up for some that take no work.
_SPARE_CANDIDATES = 4


class LoadKeeper:
    """Own calls in flight, reports with their age, health and weights, by target."""

    def __init__(self, loop, settings, roster, configuration, gossip, leavers, random):
        self._loop = loop
        self._settings = settings
        self._roster = roster
        self._configuration = configuration
        self._gossip = gossip
        self._leavers = leavers
        self._random = random
        self._views = {}
        self._health = {}
        self._weights = {}
        self._joined_at = {}
        self._subsets = {}
        self._started_at = loop.now()
        self.round_trip = RoundTripEstimate()
        gossip.on_member(self._on_member)

    @property
    def ejections(self):
        """How often a target was ejected."""
        return sum(health.ejections for health in self._health.values())

    def candidates(self, service):
        """List targets of a service with what is known of them: those used, or some at random.

        :param service: its name.
        :return: a list of :class:`Candidate`.
        """
        now = self._loop.now()
        health = self._health_of(service)
        settings = self._settings
        # Putting a candidate together takes 5 us and more; for a whole subset that would be a
        # good part of what a call may be held up in all.
        count = settings.entry.choices + _SPARE_CANDIDATES
        drawn = sample_targets(self._subset(service), settings.failure_domain, count, self._random)
        return [self._candidate(member, health, now) for member in drawn]

    def survey(self, service):
        """List all targets of a service, also those that this node does not use.

        :param service: its name.
        :return: a list of :class:`Candidate`.
        """
        now = self._loop.now()
        health = self._health_of(service)
        members = self._roster.members(service)
        return [self._candidate(member, health, now) for member in members]

    def take_configuration(self):
        """Take the weights of the version in force; targets left out have the full weight.

        :return: None.
        """
        services = self._configuration.weights.values()
        self._set_weights(
            {
                target: weight / _FULL_WEIGHT
                for weights in services
                for target, weight in weights.items()
            }
        )

    def _set_weights(self, weights):
        now = self._loop.now()
        for target in self._weights.keys() | weights.keys():
            wanted = weights.get(target, 1.0)
            if target not in self._weights:
                self._weights[target] = ShiftingWeight(1.0, now)
            self._weights[target].move_to(wanted, now)

    def note_sent(self, target):
        """Count a call on its way to a target.

        :param target: the target's name.
        :return: None.
        """
        self._view(target).record_sent()

    def note_done(self, target, load, latency_ms=None):
        """Count a call as done.

        :param target: the target's name.
        :param load: the :class:`LoadReport` that came with the answer, or None.
        :param latency_ms: how long a good answer took, or None.
        :return: None.
        """
        view = self._view(target)
        view.record_done()
        if load is None:
            return
        now = self._loop.now()
        view.record_report(load, now)
        self._leavers.note_report(target, load)
        if latency_ms is None:
            return
        view.record_answer(latency_ms, now)
        if load.queued == 0:
            view.record_latency(latency_ms, now)

    def is_suspect(self, target, sent_at, typical_ms):
        """Tell whether a call that is overdue speaks against its target, and remember it.

        :param target: the target's name.
        :param sent_at: when the call was sent.
        :param typical_ms: the service's usual latency.
        :return: True or False.
        """
        view = self._view(target)
        if not indicates_slow_target(view, sent_at, typical_ms):
            return False
        view.record_overdue(1)
        return True

    def note_overdue_done(self, target, given_up_ms):
        """Take note that a call that was overdue has ended.

        :param target: the target's name.
        :param given_up_ms: how long it took until it was given up, None when it was answered.
        :return: None.
        """
        view = self._view(target)
        view.record_overdue(-1)
        if given_up_ms is not None:
            view.record_slow(given_up_ms, self._loop.now())

    def note_report(self, target, load):
        """Take in the report that answers a probe.

        :param target: the target's name.
        :param load: the :class:`LoadReport`.
        :return: None.
        """
        self._view(target).record_report(load, self._loop.now())
        self._leavers.note_report(target, load)

    def note_outcome(self, service, target, failed):
        """Take in whether a call's outcome speaks against its target.

        :param service: the service's name.
        :param target: the target's name.
        :param failed: True or False.
        :return: whether the target was ejected by this.
        """
        names = [member.node for member in self._subset(service)]
        return self._health_of(service).record(target, failed, names, self._loop.now())

    def _candidate(self, member, health, now):
        name = member.node
        view = self._view(name)
        report = view.report
        own = view.own_latency(now)
        return Candidate(
            target=name,
            address=member.address,
            failure_domain=member.failure_domain,
            slots=report.slots if report and report.slots else member.target.slots,
            own_in_flight=view.own_in_flight,
            others_in_flight=view.others_in_flight,
            reported_calls=report.in_flight + report.queued if report else 0,
            report_age=view.report_age(now),
            reported_latency_ms=report.latency_ms if report else None,
            own_latency_ms=own[0] if own else None,
            own_latency_age=own[1] if own else 0.0,
            overdue=view.overdue,
            failure_share=health.failure_share(name, now),
            weight=self._weight(name, now) * health.return_share(name, now),
            leaving=self._is_leaving(member),
            ejected=health.update(name, now),
        )

    def _is_leaving(self, member):
        service, domain = member.target.service, member.failure_domain
        if self._configuration.is_leaving(service, member.node, domain):
            return True
        return self._leavers.is_leaving(member.node)

    def _weight(self, target, now):
        weight = self._weights.get(target)
        share = ramp_share(self._joined_at.get(target), now)
        return share if weight is None else share * weight.value(now)

    def _subset(self, service):
        chosen = self._subsets.get(service)
        if chosen is None:
            members = self._roster.members(service)
            entry = self._settings.entry
            nodes = len(self._gossip.membership.members())
            size = subset_size(entry.subset, len(members), nodes, entry.link_limit)
            settings = self._settings
            chosen = choose_subset(settings.name, settings.failure_domain, members, size)
            self._subsets[service] = chosen
        return chosen

    def _health_of(self, service):
        health = self._health.get(service)
        if health is None:
            health = self._health[service] = OutlierDetector(self._random)
        return health

    def _view(self, target):
        view = self._views.get(target)
        if view is None:
            view = self._views[target] = LoadView()
        return view

    def _on_member(self, old, new):
        self._subsets.clear()
        known = old is not None and old.in_use and old.generation == new.generation
        if not new.in_use or new.target is None:
            return
        if known and old.target == new.target:
            return
        # A replaced host starts anew: its forerunner's clock, load and health say nothing of it.
        # Calls that are still counted at the forerunner keep the view until they are done.
        view = self._views.get(new.node)
        if view is not None and not view.own_in_flight:
            del self._views[new.node]
        self._health_of(new.target.service).forget(new.node)
        now = self._loop.now()
        if now - self._started_at > _ACQUAINTANCE_SECONDS:
            self._joined_at[new.node] = now
