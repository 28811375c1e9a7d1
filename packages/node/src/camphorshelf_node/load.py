"""Tracks the load, health and weight of each target, as seen by this entry node."""

from camphorshelf_core.health import OutlierDetector
from camphorshelf_core.hedge import indicates_slow_target
from camphorshelf_core.load import LoadView
from camphorshelf_core.ramp import ShiftingWeight, ramp_share
from camphorshelf_core.routing import Candidate, sample_targets
from camphorshelf_core.spill import RoundTripEstimate
from camphorshelf_core.subset import choose_subset, subset_size

# Members that become known this soon after the node's own start are older than it: no warm-up.
_STARTUP_SECONDS = 5.0
_FULL_WEIGHT = 100
# Sampled in addition to the choices of a call, since some targets may not accept calls.
_EXTRA_CANDIDATES = 4


class LoadTracker:
    """Tracks own calls in flight, load reports, health and weights by target.

    ``round_trip`` is the :class:`~camphorshelf_core.spill.RoundTripEstimate`.
    """

    def __init__(self, loop, settings, roster, configuration, gossip, leaving_targets, random):
        self._loop = loop
        self._settings = settings
        self._roster = roster
        self._configuration = configuration
        self._gossip = gossip
        self._leaving_targets = leaving_targets
        self._random = random
        self._views = {}
        self._detectors = {}
        self._weights = {}
        self._joined_at = {}
        self._subsets = {}
        self._started_at = loop.now()
        self.round_trip = RoundTripEstimate()
        gossip.on_member(self._on_member)

    @property
    def ejections(self):
        """The number of ejections of targets."""
        return sum(detector.ejections for detector in self._detectors.values())

    def candidates(self, service):
        """List the targets to choose from for a call: a random sample of the service's subset.

        :param service: the service's name.
        :return: a list of :class:`Candidate`.
        """
        now = self._loop.now()
        detector = self._detector(service)
        settings = self._settings
        # Building a candidate takes at least 5 us. For a whole subset this would add up to a large
        # part of the delay that a node may add to a call.
        count = settings.entry.choices + _EXTRA_CANDIDATES
        sampled = sample_targets(
            self._subset(service), settings.failure_domain, count, self._random
        )
        return [self._candidate(member, detector, now) for member in sampled]

    def all_candidates(self, service):
        """List all targets of a service, including those outside this node's subset.

        :param service: the service's name.
        :return: a list of :class:`Candidate`.
        """
        now = self._loop.now()
        detector = self._detector(service)
        members = self._roster.members(service)
        return [self._candidate(member, detector, now) for member in members]

    def apply_weights(self):
        """Apply the weights of the version in force; targets without a weight get the full one.

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
            new_weight = weights.get(target, 1.0)
            if target not in self._weights:
                self._weights[target] = ShiftingWeight(1.0, now)
            self._weights[target].move_to(new_weight, now)

    def record_sent(self, target):
        """Record that a call was sent to a target.

        :param target: the target's name.
        :return: None.
        """
        self._view(target).record_sent()

    def record_done(self, target, load, latency_ms=None):
        """Record that a call was answered or given up.

        :param target: the target's name.
        :param load: the :class:`~camphorshelf_core.load.LoadReport` of the answer, or None.
        :param latency_ms: the latency of a good answer, otherwise None.
        :return: None.
        """
        view = self._view(target)
        view.record_done()
        if load is None:
            return
        now = self._loop.now()
        view.record_report(load, now)
        self._leaving_targets.record_report(target, load)
        if latency_ms is None:
            return
        view.record_answer(latency_ms, now)
        if load.queued == 0:
            view.record_latency(latency_ms, now)

    def record_overdue(self, target, sent_at, typical_ms):
        """Record an overdue call if it indicates a slow target.

        :param target: the target's name.
        :param sent_at: when the call was sent, in seconds on the monotonic clock.
        :param typical_ms: the service's usual latency.
        :return: whether the call was recorded.
        """
        view = self._view(target)
        if not indicates_slow_target(view, sent_at, typical_ms):
            return False
        view.record_overdue(1)
        return True

    def record_overdue_done(self, target, given_up_ms):
        """Record the end of a call that was recorded as overdue.

        :param target: the target's name.
        :param given_up_ms: how long the call took until it was given up; None if it was answered.
        :return: None.
        """
        view = self._view(target)
        view.record_overdue(-1)
        if given_up_ms is not None:
            view.record_slow(given_up_ms, self._loop.now())

    def record_report(self, target, load):
        """Record the load report of a probe's answer.

        :param target: the target's name.
        :param load: the :class:`~camphorshelf_core.load.LoadReport`.
        :return: None.
        """
        self._view(target).record_report(load, self._loop.now())
        self._leaving_targets.record_report(target, load)

    def record_outcome(self, service, target, failed):
        """Record the outcome of a call for outlier detection.

        :param service: the service's name.
        :param target: the target's name.
        :param failed: whether the outcome counts as a failure of the target.
        :return: whether this outcome ejected the target.
        """
        names = [member.node for member in self._subset(service)]
        return self._detector(service).record(target, failed, names, self._loop.now())

    def _candidate(self, member, detector, now):
        name = member.node
        view = self._view(name)
        report = view.report
        own_latency = view.own_latency(now)
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
            own_latency_ms=own_latency[0] if own_latency else None,
            own_latency_age=own_latency[1] if own_latency else 0.0,
            overdue=view.overdue,
            failure_share=detector.failure_share(name, now),
            weight=self._weight(name, now) * detector.return_share(name, now),
            leaving=self._is_leaving(member),
            ejected=detector.check_ejected(name, now),
        )

    def _is_leaving(self, member):
        service, domain = member.target.service, member.failure_domain
        if self._configuration.is_leaving(service, member.node, domain):
            return True
        return self._leaving_targets.is_leaving(member.node)

    def _weight(self, target, now):
        weight = self._weights.get(target)
        ramp = ramp_share(self._joined_at.get(target), now)
        return ramp if weight is None else ramp * weight.value(now)

    def _subset(self, service):
        subset = self._subsets.get(service)
        if subset is None:
            members = self._roster.members(service)
            entry = self._settings.entry
            nodes = len(self._gossip.membership.members())
            size = subset_size(entry.subset, len(members), nodes, entry.link_limit)
            settings = self._settings
            subset = choose_subset(settings.name, settings.failure_domain, members, size)
            self._subsets[service] = subset
        return subset

    def _detector(self, service):
        detector = self._detectors.get(service)
        if detector is None:
            detector = self._detectors[service] = OutlierDetector(self._random)
        return detector

    def _view(self, target):
        view = self._views.get(target)
        if view is None:
            view = self._views[target] = LoadView()
        return view

    def _on_member(self, old, new):
        self._subsets.clear()
        is_known = old is not None and old.in_use and old.generation == new.generation
        if not new.in_use or new.target is None:
            return
        if is_known and old.target == new.target:
            return
        # The clock offset, load and health of the previous host or target don't apply to its
        # replacement.
        # The view stays while calls to the previous one are in flight, since it counts them.
        view = self._views.get(new.node)
        if view is not None and not view.own_in_flight:
            del self._views[new.node]
        self._detector(new.target.service).forget(new.node)
        now = self._loop.now()
        if now - self._started_at > _STARTUP_SECONDS:
            self._joined_at[new.node] = now
