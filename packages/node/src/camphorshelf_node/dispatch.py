"""Chooses targets for calls and holds the state that all calls of an entry node share."""

from collections import Counter

from camphorshelf_core.baselines import make_chosen_policy
from camphorshelf_core.calls import AttemptId
from camphorshelf_core.errors import Code, Refusal
from camphorshelf_core.hedge import LatencyQuantile
from camphorshelf_core.retry import ShareBudget, add_jitter
from camphorshelf_core.settings import split_address

from .callexecution import CallExecution
from .linkmemory import LinkMemory
from .links import PeerLink

_NO_TARGET_RETRY_MS = 1_000


class Dispatcher:
    """Dispatches exchanges that passed the filters.

    An exchange is any object with ``request``, ``service``, ``deadline``, ``answer``, ``refuse``
    and ``set_disconnect_handler``, such as an :class:`~camphorshelf_node.exchange.Exchange`.
    Either ``answer`` or ``refuse`` is called, once, with the final outcome.
    """

    def __init__(
        self,
        loop,
        settings,
        incarnation,
        load_tracker,
        admission_controller,
        probes,
        quarantine,
        log,
        random,
        configuration,
        memory=None,
    ):
        self._memory = memory
        self._incarnation = incarnation
        self._choose = make_chosen_policy(settings.entry, settings.failure_domain, random)
        self._random = random
        self.configuration = configuration
        self._attempt_count = 0
        self._links = {}
        self._quantiles = {}
        self.loop = loop
        self.settings = settings
        self.load_tracker = load_tracker
        self.admission_controller = admission_controller
        self.probes = probes
        self.quarantine = quarantine
        self.log = log
        self.counts = Counter()
        entry = settings.entry
        self.retry_budget = ShareBudget(entry.retry_share)
        self.hedge_budget = ShareBudget(entry.hedge_share)
        self.spill_budget = ShareBudget(entry.spill_share)

    @property
    def is_baseline(self):
        """Whether a baseline policy is configured; these neither spill, hedge nor probe."""
        return self.settings.entry.policy != "ours"

    def dispatch(self, exchange):
        """Count a call and start to execute it.

        :param exchange: the call's exchange.
        :return: None.
        """
        self.counts["calls"] += 1
        for budget in (self.retry_budget, self.hedge_budget, self.spill_budget):
            budget.record_call()
        CallExecution(self, exchange).start()

    def choose(self, service, exclude=()):
        """Choose a target and let the probe scheduler probe one of the candidates.

        :param service: the service's name.
        :param exclude: names of targets not to choose.
        :return: a :class:`~camphorshelf_core.routing.Choice`, or None if no target can be chosen.
        """
        candidates = self.load_tracker.candidates(service)
        choice = self._choose(candidates, exclude)
        if choice is None:
            # None of the sampled targets takes calls; consider all before refusing the call.
            choice = self._choose(self.load_tracker.all_candidates(service), exclude)
        if not self.is_baseline:
            self.probes.probe_one(candidates)
        return choice

    def no_target_refusal(self):
        """Build the refusal of a call for which there is no target.

        :return: the :class:`Refusal`.
        """
        after = add_jitter(_NO_TARGET_RETRY_MS, self._random)
        return Refusal(Code.NO_TARGET, "no target of the service takes work", retry_after_ms=after)

    def latency_quantile(self, service):
        """Return the latency quantile of a service.

        :param service: the service's name.
        :return: the :class:`LatencyQuantile`.
        """
        quantile = self._quantiles.get(service)
        if quantile is None:
            quantile = LatencyQuantile(self.settings.entry.hedge_quantile)
            self._quantiles[service] = quantile
        return quantile

    def next_attempt_id(self):
        """Return a new attempt id.

        :return: an :class:`AttemptId` that this node never uses again.
        """
        self._attempt_count += 1
        return AttemptId(self._incarnation, self._attempt_count)

    def link(self, address):
        """Return the open link to a peer, or open a new one.

        :param address: the peer's address, as ``IP:PORT``.
        :return: the :class:`PeerLink`.
        """
        link = self._links.get(address)
        if link is None or link.closed:
            memory = None if self._memory is None else LinkMemory(self._memory)
            link = PeerLink(self.loop, split_address(address), memory=memory)
            self._links[address] = link
        return link
