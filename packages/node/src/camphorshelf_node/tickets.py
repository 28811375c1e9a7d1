"""Calls with tickets: how the target's node runs them and how an entry node forwards them.

A ticket is an idempotency key that a target's node issues (mints). Only that node runs the call
that is sent with it, so it can do so at most once without the platform's table.
"""

import json
from urllib.parse import parse_qs, urlsplit

from camphorshelf_core.calls import Response, header, is_idempotent
from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.messages import (
    AnswerMessage,
    CallMessage,
    TicketsMessage,
    TicketsRequestMessage,
    pack_result,
    unpack_result,
)
from camphorshelf_core.tickets import TicketStep, is_ticket, parse_ticket

from .claims import KEY_HEADER, REPLAY_HEADER, is_valid_key, request_digest
from .headers import strip_hop_by_hop, with_deadline

TICKETS_PATH = b"/.camphorshelf/tickets"
_MAX_TICKETS_PER_REQUEST = 100
_MINT_TIMEOUT_SECONDS = 1.0
_RETRY_AFTER_MS = 1_000
_RECORD_OVERHEAD_BYTES = 400


class TicketRunner:
    """Mints tickets for the target on this host, and runs the call of each ticket at most once."""

    def __init__(self, loop, at_most_once, admission_controller, store):
        self._loop = loop
        self._at_most_once = at_most_once
        self._admission_controller = admission_controller
        self._store = store
        self._waiting = {}

    def answer_tickets_request(self, message, reply):
        """Answer an entry node that requests tickets.

        :param message: the :class:`TicketsRequestMessage`.
        :param reply: called with the :class:`TicketsMessage`.
        :return: None.
        """
        reply(self.mint(message))

    def mint(self, message):
        """Mint tickets.

        :param message: the :class:`TicketsRequestMessage`.
        :return: the :class:`TicketsMessage`, with the tickets or a refusal.
        """
        target = self._admission_controller.announcement
        if target is None or target.service != message.service:
            return _mint_refusal(Refusal(Code.NO_TARGET, "no such target beside this node"))
        tickets = []
        for _ in range(min(message.count, _MAX_TICKETS_PER_REQUEST)):
            minted = self._store.mint(message.service, self._loop.now())
            if isinstance(minted, Refusal):
                break
            tickets.append(minted)
        return TicketsMessage(0, tuple(tickets), None) if tickets else _mint_refusal(minted)

    def run(self, call, on_done):
        """Run a call; if it carries a ticket, at most once.

        A repeated call gets the stored result, or waits for the result of the running one.

        :param call: the :class:`CallMessage`.
        :param on_done: called with the response or refusal, and the load report.
        :return: a function that cancels the call.
        """
        key = None if is_idempotent(call.method) else header(call.headers, KEY_HEADER)
        text = None if key is None else key.decode("latin-1")
        if text is None or not is_ticket(text):
            return self._at_most_once.run(call, on_done)
        ticket = parse_ticket(text)
        if ticket is None:
            on_done(_bad_ticket_refusal(), self._admission_controller.load)
            return _do_nothing
        digest = request_digest(call)
        step, result = self._store.begin(ticket, call.service, digest, self._loop.now())
        if step is TicketStep.ANSWER:
            on_done(_as_replay(result), self._admission_controller.load)
            return _do_nothing
        if step is TicketStep.WAIT:
            waiting = self._waiting[ticket]
            waiting.append(on_done)
            return lambda: _remove_callback(waiting, on_done)
        return self._start(call, ticket, on_done)

    def _start(self, call, ticket, on_done):
        waiting = self._waiting[ticket] = [on_done]

        def finish(result, load):
            del self._waiting[ticket]
            self._store.finish(ticket, result, _record_bytes(result), self._loop.now())
            for callback in waiting:
                callback(result, load)

        cancel = self._at_most_once.run(call, finish)

        def stop_waiting():
            _remove_callback(waiting, on_done)
            # The result of a call that has started is stored for repeated requests. A call that
            # has not started and that nobody waits for is cancelled; its ticket can be used again.
            is_current = self._waiting.get(ticket) is waiting
            if is_current and not waiting and not self._at_most_once.has_started(call):
                cancel()
                finish(
                    Refusal(Code.CANCELLED, "nobody waits for it"),
                    self._admission_controller.load,
                )

        return stop_waiting


class TicketForwarder:
    """Forwards calls with tickets to the node that minted them, and requests new tickets."""

    def __init__(self, loop, settings, dispatcher, roster, replica, runner, random):
        self._loop = loop
        self._settings = settings
        self._dispatcher = dispatcher
        self._roster = roster
        self._replica = replica
        self._runner = runner
        self._random = random

    def filter(self, exchange, proceed):
        """Handle requests for tickets and calls with tickets; pass all others to the next filter.

        :param exchange: the caller's exchange.
        :param proceed: the next filter of the chain.
        :return: None.
        """
        request = exchange.request
        if request.path.partition(b"?")[0] == TICKETS_PATH:
            self._request_tickets(exchange)
            return
        key = None if is_idempotent(request.method) else header(request.headers, KEY_HEADER)
        if key is None or not is_ticket(key.decode("latin-1")):
            proceed(exchange)
            return
        ticket = parse_ticket(key.decode("latin-1"))
        if ticket is None or not is_valid_key(request.headers):
            exchange.is_keyed = False
            exchange.refuse(_bad_ticket_refusal())
            return
        self._send(exchange, ticket)

    def _request_tickets(self, exchange):
        request = exchange.request
        if request.method != "POST":
            exchange.refuse(Refusal(Code.BAD_REQUEST, "tickets are taken with POST"))
            return
        members = self._roster.members(exchange.service)
        if not members:
            reason = "no target of the service takes work"
            exchange.refuse(Refusal(Code.NO_TARGET, reason, retry_after_ms=_RETRY_AFTER_MS))
            return
        member = self._random.choice(members)
        message = TicketsRequestMessage(0, exchange.service, _read_count(request.path))
        if member.address == self._settings.listen.peers:
            self._send_tickets(exchange, self._runner.mint(message))
            return

        def done(answer):
            timer.cancel()
            self._send_tickets(exchange, answer)

        def on_timeout():
            cancel()
            self._send_tickets(exchange, None)

        timer = self._loop.call_later(_MINT_TIMEOUT_SECONDS, exchange.guard(on_timeout))
        link = self._dispatcher.link(member.address)
        cancel = link.call(message, exchange.guard(done))

    def _send_tickets(self, exchange, answer):
        if not isinstance(answer, TicketsMessage):
            reason = "the target's node did not answer"
            exchange.refuse(Refusal(Code.PEER_LOST, reason, retry_after_ms=_RETRY_AFTER_MS))
            return
        refusal = unpack_result(None, answer.refusal)
        if refusal is not None:
            exchange.refuse(refusal)
            return
        body = json.dumps({"tickets": list(answer.tickets)}).encode()
        exchange.answer(Response(200, ((b"content-type", b"application/json"),), body))

    def _send(self, exchange, ticket):
        member = self._replica.member(ticket.node)
        if member is None or not member.in_use or member.incarnation != ticket.incarnation:
            exchange.refuse(_node_gone_refusal(is_final=member is not None))
            return
        message = self._make_message(exchange, ticket)
        call = _TicketCall(self._loop, exchange)
        if member.address == self._settings.listen.peers:
            call.start(lambda done: self._runner.run(message, lambda result, _load: done(result)))
        else:
            link = self._dispatcher.link(member.address)
            call.start(lambda done: link.call(message, lambda answer: done(_to_result(answer))))

    def _make_message(self, exchange, ticket):
        request = exchange.request
        deadline_ms = max(1, int((exchange.deadline - self._loop.now()) * 1000))
        return CallMessage(
            call_id=0,
            attempt=self._dispatcher.next_attempt_id(),
            service=exchange.service,
            target=ticket.node,
            deadline_ms=deadline_ms,
            caller=exchange.caller or "",
            method=request.method,
            path=request.path,
            headers=with_deadline(strip_hop_by_hop(request.headers), deadline_ms),
            body=request.body,
        )


class _TicketCall:
    """A call with a ticket that is forwarded to the ticket's node."""

    def __init__(self, loop, exchange):
        self._loop = loop
        self._exchange = exchange
        self._timer = None
        self._cancel = _do_nothing

    def start(self, send):
        exchange = self._exchange
        exchange.set_disconnect_handler(self._give_up)
        wait = max(0.0, exchange.deadline - self._loop.now())
        self._timer = self._loop.call_later(wait, exchange.guard(self._on_deadline))
        self._cancel = send(exchange.guard(self._on_result))

    def _on_result(self, result):
        self._timer.cancel()
        exchange = self._exchange
        if isinstance(result, Response):
            exchange.answer(result)
            return
        # Only the node that minted the ticket can tell that the call has not run. If this node
        # can't reach it, the call may have run after an earlier request through another node.
        exchange.is_keyed = result.code is Code.PEER_LOST
        if result.code is Code.PEER_LOST:
            result = _node_gone_refusal(is_final=False)
        exchange.refuse(result)

    def _on_deadline(self):
        self._give_up()
        reason = "the deadline passed before the answer came"
        self._exchange.refuse(Refusal(Code.DEADLINE_EXCEEDED, reason, Ran.OUTCOME_UNKNOWN))

    def _give_up(self):
        self._timer.cancel()
        self._cancel()


def _to_result(answer):
    if isinstance(answer, Refusal):
        return answer
    if isinstance(answer, AnswerMessage):
        return Response(answer.status, answer.headers, answer.body)
    return Refusal(Code(answer.code), answer.reason, Ran(answer.ran), answer.retry_after_ms)


def _mint_refusal(refusal):
    return TicketsMessage(0, (), pack_result(refusal)[1])


def _read_count(path):
    values = parse_qs(urlsplit(path.decode("latin-1")).query).get("count", ["1"])
    is_count = values[0].isdecimal() and len(values[0]) <= len(str(_MAX_TICKETS_PER_REQUEST))
    return max(1, int(values[0])) if is_count else 1


def _node_gone_refusal(is_final):
    reason = "the node that minted the ticket is gone or cannot be reached; no other runs it"
    retry_after_ms = None if is_final else _RETRY_AFTER_MS
    return Refusal(Code.TICKET_NODE_GONE, reason, Ran.OUTCOME_UNKNOWN, retry_after_ms)


def _bad_ticket_refusal():
    return Refusal(Code.BAD_TICKET, "the ticket is malformed")


def _as_replay(result):
    if isinstance(result, Response):
        return result._replace(headers=(*result.headers, REPLAY_HEADER))
    return result


def _record_bytes(result):
    if not isinstance(result, Response):
        return _RECORD_OVERHEAD_BYTES
    header_bytes = sum(len(name) + len(value) for name, value in result.headers)
    return _RECORD_OVERHEAD_BYTES + header_bytes + len(result.body)


def _remove_callback(waiting, on_done):
    if on_done in waiting:
        waiting.remove(on_done)


def _do_nothing():
    """Cancel nothing; used for calls that are not running."""
