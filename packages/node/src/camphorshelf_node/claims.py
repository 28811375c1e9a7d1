"""The controller of calls under callers' keys: carries out what the claim book decides."""

import hashlib
import itertools

from camphorshelf_core.calls import Response, header, is_idempotent
from camphorshelf_core.claimactions import (
    AskOwner,
    MarkClaim,
    ReadClaim,
    RunCall,
    Settle,
    Waiter,
    WriteClaim,
)
from camphorshelf_core.claimrecords import ClaimKey, OwnerReply, OwnerState
from camphorshelf_core.claims import ClaimTracker
from camphorshelf_core.errors import Code, Ran, Refusal
from camphorshelf_core.messages import (
    ClaimStatusMessage,
    ClaimStatusRequestMessage,
    pack_result,
    unpack_result,
)

from .claimwriter import ClaimWriter, partition_of
from .keyedcall import KeyedCall

KEY_HEADER = b"idempotency-key"
SEND_HEADER = b"idempotency-attempt"
REPLAY_HEADER = (b"camphorshelf-replayed", b"true")
_FIRST_SEND = b"1"
_MAX_KEY_BYTES = 255
_DIGEST_BYTES = 16
_LONGEST_ASK_SECONDS = 5.0
_ASK_SHARE = 0.8
_LINK_SECONDS = 0.5
_LATE_SECONDS = 0.02


class Claims:
    """Runs each call under a caller's key at most once."""

    def __init__(self, loop, settings, platform, dispatcher, replica, invariants, random):
        self._loop = loop
        self._platform = platform
        self._dispatcher = dispatcher
        self._replica = replica
        owner = (settings.name, settings.listen.peers)
        next_attempt = dispatcher.next_attempt_id
        self._incarnation = next_attempt().incarnation
        self._book = ClaimTracker(settings.claims, owner, next_attempt, random, invariants)
        self._writer = ClaimWriter(loop, settings.claims, platform, self._book.next_mark)
        self._tokens = itertools.count(1)
        self._waiting = {}
        self._calls = {}
        self._steps = {
            WriteClaim: self._write,
            ReadClaim: self._read,
            AskOwner: self._ask,
            RunCall: self._run,
            Settle: self._settle,
            MarkClaim: self._writer.mark,
        }

    @property
    def book(self):
        """The decisions, for metrics."""
        return self._book

    @property
    def writer(self):
        """What waits to be written, for metrics and a graceful stop."""
        return self._writer

    def filter(self, exchange, proceed):
        """Let a call go on; one under a key only when its claim is held.

        :param exchange: the caller's exchange.
        :param proceed: the next step of the chain.
        :return: None.
        """
        request = exchange.request
        key = None if is_idempotent(request.method) else header(request.headers, KEY_HEADER)
        if key is None:
            proceed(exchange)
        elif not is_valid_key(request.headers):
            reason = "Idempotency-Key must be one value of 1 to 255 visible ASCII characters"
            exchange.refuse(Refusal(Code.BAD_KEY, reason))
        else:
            self._submit(exchange, proceed, ClaimKey(exchange.service, key.decode("ascii")))

    def answer_ask(self, message, reply):
        """Tell a peer what became of an attempt of this node.

        :param message: its :class:`ClaimAskMessage`.
        :param reply: takes the :class:`ClaimWordMessage`.
        :return: None.
        """
        if message.attempt.incarnation != self._incarnation:
            reply(_word(OwnerReply(OwnerState.GONE)))
            return
        token = next(self._tokens)
        key = ClaimKey(message.service, message.key)
        word = self._book.query_attempt(key, message.attempt, token, self._loop.now())
        if word is not None:
            reply(_word(word))
            return

        def give(word):
            if self._waiting.pop(token, None) is not None:
                timer.cancel()
                reply(_word(word))

        self._waiting[token] = give

        def give_up():
            give(OwnerReply(OwnerState.RUNNING))
            self._carry_out(key, self._book.cancel_query(key, message.attempt, token))

        timer = self._loop.call_later(message.wait_ms / 1000, give_up)

    def _submit(self, exchange, proceed, key):
        token = next(self._tokens)
        self._waiting[token] = exchange
        earlier = self._calls.get(key)
        # The call runs for whoever waits longest; the first caller may have given up by then.
        if earlier is None or earlier[0].deadline < exchange.deadline:
            self._calls[key] = exchange, proceed
        exchange.set_disconnect_handler(lambda: self._leave(key, token))
        wait = max(0.0, exchange.deadline - self._loop.now()) + _LATE_SECONDS
        exchange.timer = self._loop.call_later(wait, lambda: self._on_deadline(key, token))
        waiter = Waiter(token, is_first_send(exchange.request.headers))
        digest = digest_of(exchange.request)
        self._carry_out(key, self._book.submit(key, digest, waiter, self._loop.now()))

    def _carry_out(self, key, actions):
        for action in actions:
            self._steps[type(action)](action)
        if not self._book.is_open(key):
            self._calls.pop(key, None)

    def _write(self, action):
        key, attempt = action.key, action.record.attempt

        def done(written):
            self._carry_out(key, self._book.on_written(key, attempt, written))

        self._writer.write(action, done)

    def _read(self, action):
        key, attempt = action.key, action.attempt

        def done(result):
            self._carry_out(key, self._book.on_read(key, attempt, result))

        self._platform.get(partition_of(key.service), key.key, done)

    def _ask(self, action):
        key, record = action.key, action.record
        exchange, _ = self._calls[key]
        left = max(0.0, exchange.deadline - self._loop.now())
        wait = min(_LONGEST_ASK_SECONDS, left * _ASK_SHARE)

        def done(answer):
            timer.cancel()
            self._carry_out(
                key, self._book.on_owner(key, action.attempt, self._heed(answer, record))
            )

        def give_up():
            cancel()
            done(None)

        timer = self._loop.call_later(wait + _LINK_SECONDS, give_up)
        message = ClaimStatusRequestMessage(
            0, key.service, key.key, record.attempt, int(wait * 1000)
        )
        cancel = self._dispatcher.link(record.address).call(message, done)

    def _heed(self, answer, record):
        if isinstance(answer, ClaimStatusMessage):
            result = unpack_result(answer.answer, answer.refusal)
            return OwnerReply(OwnerState(answer.state), result)
        # Nobody answered. Only a newer record of the node proves that this incarnation is no
        # more; a paused or cut off owner looks the same from here and may come back.
        member = self._replica.member(record.node)
        is_replaced = member is not None and member.incarnation != record.attempt.incarnation
        is_gone = is_replaced or (member is not None and not member.in_use)
        return OwnerReply(OwnerState.GONE if is_gone else OwnerState.UNREACHABLE)

    def _run(self, action):
        exchange, proceed = self._calls[action.key]

        def done(result):
            actions = self._book.on_result(action.key, action.attempt, result, self._loop.now())
            self._carry_out(action.key, actions)

        proceed(KeyedCall(exchange, done))

    def _settle(self, action):
        waiting = self._waiting.get(action.token)
        if waiting is None:
            return
        if isinstance(action.result, OwnerReply):
            waiting(action.result)
            return
        del self._waiting[action.token]
        waiting.timer.cancel()
        waiting.is_keyed = False
        if isinstance(action.result, Response):
            response = action.result
            if action.is_replay:
                response = response._replace(headers=(*response.headers, REPLAY_HEADER))
            waiting.answer(response)
        else:
            waiting.refuse(action.result)

    def _leave(self, key, token):
        exchange = self._waiting.pop(token, None)
        if exchange is not None:
            exchange.timer.cancel()
            self._carry_out(key, self._book.remove_waiter(key, token))

    def _on_deadline(self, key, token):
        exchange = self._waiting.get(token)
        if exchange is None:
            return
        self._leave(key, token)
        # The claim may go on for others that wait for it, here or at a peer. Only when it ended
        # with this caller is its attempt void, and NOT_RUN true.
        is_void = not self._book.is_open(key)
        is_proven = is_void and is_first_send(exchange.request.headers)
        ran = Ran.NOT_RUN if is_proven else Ran.OUTCOME_UNKNOWN
        reason = "the deadline passed before the call's outcome was known"
        exchange.is_keyed = False
        exchange.refuse(Refusal(Code.DEADLINE_EXCEEDED, reason, ran))


def is_valid_key(headers):
    """Tell whether a request has one key that can be used.

    :param headers: its headers.
    :return: True or False.
    """
    values = [value for name, value in headers if name == KEY_HEADER]
    if len(values) != 1 or not 1 <= len(values[0]) <= _MAX_KEY_BYTES:
        return False
    return all(0x21 <= byte <= 0x7E for byte in values[0])


def is_first_send(headers):
    """Tell whether the sender vouches that it never sent the key before.

    :param headers: the request's headers.
    :return: True or False.
    """
    return header(headers, SEND_HEADER) == _FIRST_SEND


def digest_of(request):
    """Digest what must not differ between two requests with one key.

    :param request: the :class:`~camphorshelf_core.calls.Request`.
    :return: the digest.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.method.encode(), request.path, request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def keyed_filter(exchange, proceed):
    """Mark a call under a key, whose refusal speaks of earlier sends of the key as well.

    :param exchange: the caller's exchange.
    :param proceed: the next step of the chain.
    :return: None.
    """
    request = exchange.request
    if not is_idempotent(request.method) and header(request.headers, KEY_HEADER) is not None:
        exchange.is_keyed = not is_first_send(request.headers)
    proceed(exchange)


def _word(reply):
    return ClaimStatusMessage(0, reply.state.value, *pack_result(reply.result))
