"""Sends a call to the chosen target's node and its answer back to the caller."""

from camphorshelf_core.calls import AttemptId, Response
from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.messages import AnswerMessage, CallMessage
from camphorshelf_core.routing import choose_target
from camphorshelf_core.settings import split_address

from .headers import strip_hop_by_hop, with_deadline
from .links import PeerLink


class Dispatcher:
    """Routes exchanges that passed the filters."""

    def __init__(
        self,
        loop,
        settings,
        incarnation,
        roster,
        gatekeeper,
        quarantine,
        log,
        random,
        configuration,
    ):
        self._loop = loop
        self._settings = settings
        self._incarnation = incarnation
        self._roster = roster
        self._gatekeeper = gatekeeper
        self._quarantine = quarantine
        self._log = log
        self._random = random
        self._configuration = configuration
        self._numbers = 0
        self._links = {}

    def dispatch(self, exchange):
        """Choose a target and send it the call.

        :param exchange: the caller's :class:`~camphorshelf_node.http.Exchange`.
        :return: None.
        """
        candidates = self._roster.candidates(exchange.service)
        domain = self._settings.failure_domain
        chosen = choose_target(candidates, domain, self._random)
        if chosen is None:
            reason = "no target of the service takes work"
            exchange.refuse(Refusal(Code.NO_TARGET, reason, retry_after_ms=1000))
            return
        self._log.decision(
            "route",
            call=exchange.call_id,
            service=exchange.service,
            target=chosen.target,
            candidates=len(candidates),
            version=self._configuration.held.version,
        )
        _Dispatch(self, exchange, chosen).start()

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
            link = PeerLink(self._loop, split_address(address))
            self._links[address] = link
        return link


class _Dispatch:
    def __init__(self, dispatcher, exchange, chosen):
        self._dispatcher = dispatcher
        self._exchange = exchange
        self._chosen = chosen
        self._cancel = None
        self._timer = None
        self._settled = False

    def start(self):
        dispatcher, exchange, chosen = self._dispatcher, self._exchange, self._chosen
        exchange.when_hung_up(self._give_up)
        wait = exchange.deadline - dispatcher._loop.now()
        self._timer = dispatcher._loop.call_later(max(0.0, wait), exchange.guard(self._on_deadline))
        dispatcher._roster.note_sent(chosen.target)
        message = self._message(wait)
        if chosen.address == dispatcher._settings.listen.peers:
            self._cancel = dispatcher._gatekeeper.run(message, exchange.guard(self._on_local))
        else:
            link = dispatcher.link(chosen.address)
            dispatcher._configuration.ride_on(link, chosen.address)
            self._cancel = link.call(message, exchange.guard(self._on_remote))

    def _message(self, wait):
        request = self._exchange.request
        deadline_ms = max(1, int(wait * 1000))
        headers = with_deadline(strip_hop_by_hop(request.headers), deadline_ms)
        return CallMessage(
            call_id=0,
            attempt=self._dispatcher.next_attempt(),
            service=self._exchange.service,
            target=self._chosen.target,
            deadline_ms=deadline_ms,
            caller=self._exchange.caller or "",
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
        )

    def _on_local(self, result, load):
        self._finish(result, load)

    def _on_remote(self, message):
        if isinstance(message, Refusal):
            self._finish(message, None)
        elif isinstance(message, AnswerMessage):
            response = Response(message.status, message.headers, message.body)
            self._finish(response, message.load)
        else:
            refusal = Refusal(
                Code(message.code), message.reason, Ran(message.ran), message.retry_after_ms
            )
            self._finish(refusal, message.load)

    def _finish(self, result, load):
        if load is not None:
            configuration = self._dispatcher._configuration
            configuration.hear_from(self._chosen.address, load.config_version)
        self._settle(load)
        if isinstance(result, Refusal):
            if result.code is Code.TARGET_CRASHED:
                self._dispatcher._quarantine.note_blamed(self._exchange, self._chosen.target)
            self._exchange.refuse(result)
        else:
            self._exchange.answer(result)

    def _on_deadline(self):
        self._give_up()
        reason = "the deadline passed before the answer came"
        refusal = Refusal(Code.DEADLINE_EXCEEDED, reason, Ran.OUTCOME_UNKNOWN)
        self._exchange.refuse(refusal)

    def _settle(self, load):
        # A fault after the answer ends here a second time; counting it down twice would make
        # the target look idle for ever.
        if not self._settled:
            self._settled = True
            self._timer.cancel()
            self._dispatcher._roster.note_done(self._chosen.target, load)

    def _give_up(self):
        self._settle(None)
        if self._cancel is not None:
            self._cancel()
