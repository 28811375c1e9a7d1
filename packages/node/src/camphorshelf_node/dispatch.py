"""Sends a call to the chosen target's node and its answer back to the caller."""

from collections import Counter

from camphorshelf_core.baselines import make_chosen_policy
from camphorshelf_core.calls import AttemptId
from camphorshelf_core.errors import Code, Refusal
from camphorshelf_core.hedge import LatencyQuantile
from camphorshelf_core.retry import ShareBudget, add_jitter
from camphorshelf_core.settings import split_address

from .calling import Calling
from .links import PeerLink

_NO_TARGET_RETRY_MS = 1_000


class Dispatcher:
    """Routes exchanges that passed the filters.

    An exchange is anything with ``request``, ``service``, ``deadline``, ``answer``, ``refuse``
    and ``when_hung_up``; its ``answer`` or ``refuse`` is called once, with the final outcome.
    """

    def __init__(
        self,
        loop,
        settings,
        incarnation,
        keeper,
        gatekeeper,
        sensing,
        quarantine,
        log,
        random,
        configuration,
    ):
        self._incarnation = incarnation
        self._choose = make_chosen_policy(settings.entry, settings.failure_domain, random)
        self._random = random
        self.configuration = configuration
        self._numbers = 0
        self._links = {}
        self._quantiles = {}
        self.loop = loop
        self.settings = settings
        self.keeper = keeper
        self.gatekeeper = gatekeeper
        self.sensing = sensing
        self.quarantine = quarantine
        self.log = log
        self.counts = Counter()
        entry = settings.entry
        self.retry_budget = ShareBudget(entry.retry_share)
        self.hedge_budget = ShareBudget(entry.hedge_share)
        self.spill_budget = ShareBudget(entry.spill_share)

    @property
    def is_baseline(self):
        """Whether one of the simple policies is in force, which neither spill nor hedge."""
        return self.settings.entry.policy != "ours"

    def dispatch(self, exchange):
        """Choose a target and send it the call.

        :param exchange: the caller's exchange.
        :return: None.
        """
        self.counts["calls"] += 1
        for budget in (self.retry_budget, self.hedge_budget, self.spill_budget):
            budget.record_call()
        Calling(self, exchange).start()

    def choose(self, service, exclude=()):
        """Choose a target and, where the budget allows, probe another.

        :param service: the service's name.
        :param exclude: names of targets not to choose.
        :return: a :class:`~camphorshelf_core.routing.Choice`, or None.
        """
        candidates = self.keeper.candidates(service)
        choice = self._choose(candidates, exclude)
        if choice is None:
            # None of those drawn takes work; before the call is refused, all are asked.
            choice = self._choose(self.keeper.all_candidates(service), exclude)
        if not self.is_baseline:
            self.sensing.probe_one(candidates)
        return choice

    def refuse_for_want_of_target(self):
        """Make the refusal of a call that no target takes.

        :return: the :class:`Refusal`.
        """
        after = add_jitter(_NO_TARGET_RETRY_MS, self._random)
        return Refusal(Code.NO_TARGET, "no target of the service takes work", retry_after_ms=after)

    def quantile(self, service):
        """Find the latency quantile of a service.

        :param service: its name.
        :return: the :class:`LatencyQuantile`.
        """
        quantile = self._quantiles.get(service)
        if quantile is None:
            quantile = LatencyQuantile(self.settings.entry.hedge_quantile)
            self._quantiles[service] = quantile
        return quantile

    def next_attempt(self):
        """Name a new attempt.

        :return: an :class:`AttemptId` that this node never gives again.
        """
        self._numbers += 1
        return AttemptId(self._incarnation, self._numbers)

    def link(self, address):
        """Find or open the link to a peer.

        :param address: ``IP:PORT``.
        :return: the :class:`PeerLink`.
        """
        link = self._links.get(address)
        if link is None or link.closed:
            link = PeerLink(self.loop, split_address(address))
            self._links[address] = link
        return link
