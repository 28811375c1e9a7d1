"""Runs calls with an idempotency key by carrying out the actions of the claim tracker.

A call's claim is a row in the platform's table that names the node and the attempt which may run
the call.
"""

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

from .claimwriter import ClaimWriter, claim_partition
from .keyedcall import KeyedCall

KEY_HEADER = b"idempotency-key"
ATTEMPT_HEADER = b"idempotency-attempt"
REPLAY_HEADER = (b"camphorshelf-replayed", b"true")
_FIRST_ATTEMPT = b"1"
_MAX_KEY_BYTES = 255
_DIGEST_BYTES = 16
_MAX_OWNER_WAIT_SECONDS = 5.0
_OWNER_WAIT_SHARE = 0.8
_NETWORK_MARGIN_SECONDS = 0.5
_DEADLINE_MARGIN_SECONDS = 0.02


class Claims:
    """Runs the call of each idempotency key at most once."""

    def __init__(self, loop, settings, platform, dispatcher, replica, invariants, random):
        self._loop = loop
        self._platform = platform
        self._dispatcher = dispatcher
        self._replica = replica
        owner = (settings.name, settings.listen.peers)
        next_attempt = dispatcher.next_attempt_id
        self._incarnation = next_attempt().incarnation
        self._tracker = ClaimTracker(settings.claims, owner, next_attempt, random, invariants)
        self._writer = ClaimWriter(loop, settings.claims, platform, self._tracker.next_mark)
        self._tokens = itertools.count(1)
        self._waiters = {}
        self._pending_calls = {}
        self._handlers = {
            WriteClaim: self._write,
            ReadClaim: self._read,
            AskOwner: self._ask_owner,
            RunCall: self._run,
            Settle: self._settle,
            MarkClaim: self._writer.mark,
        }

    @property
    def tracker(self):
        """The :class:`~camphorshelf_core.claims.ClaimTracker`, for metrics."""
        return self._tracker

    @property
    def writer(self):
        """The :class:`ClaimWriter`, for metrics and a graceful stop."""
        return self._writer

    def filter(self, exchange, proceed):
        """Pass a call to the next filter; a call with a key only once this node holds its claim.

        :param exchange: the caller's exchange.
        :param proceed: the next filter of the chain.
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

    def answer_status_request(self, message, reply):
        """Answer a peer that asks for the state of an attempt of this node.

        :param message: the peer's :class:`ClaimStatusRequestMessage`.
        :param reply: called with the :class:`ClaimStatusMessage`.
        :return: None.
        """
        if message.attempt.incarnation != self._incarnation:
            reply(_to_message(OwnerReply(OwnerState.GONE)))
            return
        token = next(self._tokens)
        key = ClaimKey(message.service, message.key)
        owner_reply = self._tracker.query_attempt(key, message.attempt, token, self._loop.now())
        if owner_reply is not None:
            reply(_to_message(owner_reply))
            return

        def resolve(owner_reply):
            if self._waiters.pop(token, None) is not None:
                timer.cancel()
                reply(_to_message(owner_reply))

        self._waiters[token] = resolve

        def on_timeout():
            resolve(OwnerReply(OwnerState.RUNNING))
            self._carry_out(key, self._tracker.cancel_query(key, message.attempt, token))

        timer = self._loop.call_later(message.wait_ms / 1000, on_timeout)

    def _submit(self, exchange, proceed, key):
        token = next(self._tokens)
        self._waiters[token] = exchange
        current = self._pending_calls.get(key)
        # The call runs with the exchange of the latest deadline: the first caller may have given up
        # before the others.
        if current is None or current[0].deadline < exchange.deadline:
            self._pending_calls[key] = exchange, proceed
        exchange.set_disconnect_handler(lambda: self._remove_waiter(key, token))
        wait = max(0.0, exchange.deadline - self._loop.now()) + _DEADLINE_MARGIN_SECONDS
        exchange.timer = self._loop.call_later(wait, lambda: self._on_deadline(key, token))
        waiter = Waiter(token, is_first_attempt(exchange.request.headers))
        digest = request_digest(exchange.request)
        self._carry_out(key, self._tracker.submit(key, digest, waiter, self._loop.now()))

    def _carry_out(self, key, actions):
        for action in actions:
            self._handlers[type(action)](action)
        if not self._tracker.is_open(key):
            self._pending_calls.pop(key, None)

    def _write(self, action):
        key, attempt = action.key, action.record.attempt

        def done(result):
            self._carry_out(key, self._tracker.on_written(key, attempt, result))

        self._writer.write(action, done)

    def _read(self, action):
        key, attempt = action.key, action.attempt

        def done(result):
            self._carry_out(key, self._tracker.on_read(key, attempt, result))

        self._platform.get(claim_partition(key.service), key.key, done)

    def _ask_owner(self, action):
        key, record = action.key, action.record
        exchange, _ = self._pending_calls[key]
        remaining_s = max(0.0, exchange.deadline - self._loop.now())
        wait = min(_MAX_OWNER_WAIT_SECONDS, remaining_s * _OWNER_WAIT_SHARE)

        def done(answer):
            timer.cancel()
            self._carry_out(
                key,
                self._tracker.on_owner(key, action.attempt, self._read_owner_reply(answer, record)),
            )

        def on_timeout():
            cancel()
            done(None)

        timer = self._loop.call_later(wait + _NETWORK_MARGIN_SECONDS, on_timeout)
        message = ClaimStatusRequestMessage(
            0, key.service, key.key, record.attempt, int(wait * 1000)
        )
        cancel = self._dispatcher.link(record.address).call(message, done)

    def _read_owner_reply(self, answer, record):
        if isinstance(answer, ClaimStatusMessage):
            result = unpack_result(answer.answer, answer.refusal)
            return OwnerReply(OwnerState(answer.state), result)
        # Without an answer, only a newer record of the node proves that this incarnation has ended:
        # a paused or partitioned owner doesn't answer either, and may resume.
        member = self._replica.member(record.node)
        is_replaced = member is not None and member.incarnation != record.attempt.incarnation
        has_ended = is_replaced or (member is not None and not member.in_use)
        return OwnerReply(OwnerState.GONE if has_ended else OwnerState.UNREACHABLE)

    def _run(self, action):
        exchange, proceed = self._pending_calls[action.key]

        def done(result):
            actions = self._tracker.on_result(action.key, action.attempt, result, self._loop.now())
            self._carry_out(action.key, actions)

        proceed(KeyedCall(exchange, done))

    def _settle(self, action):
        waiter = self._waiters.get(action.token)
        if waiter is None:
            return
        if isinstance(action.result, OwnerReply):
            waiter(action.result)
            return
        del self._waiters[action.token]
        waiter.timer.cancel()
        waiter.is_keyed = False
        if isinstance(action.result, Response):
            response = action.result
            if action.is_replay:
                response = response._replace(headers=(*response.headers, REPLAY_HEADER))
            waiter.answer(response)
        else:
            waiter.refuse(action.result)

    def _remove_waiter(self, key, token):
        exchange = self._waiters.pop(token, None)
        if exchange is not None:
            exchange.timer.cancel()
            self._carry_out(key, self._tracker.remove_waiter(key, token))

    def _on_deadline(self, key, token):
        exchange = self._waiters.get(token)
        if exchange is None:
            return
        self._remove_waiter(key, token)
        # The claim stays open while other callers wait for it, here or at a peer. Only if it was
        # closed with this caller is its attempt void and the call known not to have run.
        is_void = not self._tracker.is_open(key)
        is_known_not_run = is_void and is_first_attempt(exchange.request.headers)
        ran = Ran.NOT_RUN if is_known_not_run else Ran.OUTCOME_UNKNOWN
        reason = "the deadline passed before the call's outcome was known"
        exchange.is_keyed = False
        exchange.refuse(Refusal(Code.DEADLINE_EXCEEDED, reason, ran))


def is_valid_key(headers):
    """Return whether a request has exactly one valid idempotency key.

    :param headers: the request's headers.
    :return: True or False.
    """
    values = [value for name, value in headers if name == KEY_HEADER]
    if len(values) != 1 or not 1 <= len(values[0]) <= _MAX_KEY_BYTES:
        return False
    return all(0x21 <= byte <= 0x7E for byte in values[0])


def is_first_attempt(headers):
    """Return whether the sender states that it has never sent this key before.

    :param headers: the request's headers.
    :return: True or False.
    """
    return header(headers, ATTEMPT_HEADER) == _FIRST_ATTEMPT


def request_digest(request):
    """Compute the digest of the parts that must be equal in all requests with the same key.

    :param request: the :class:`~camphorshelf_core.calls.Request`.
    :return: the BLAKE2b digest of method, path and body.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.method.encode(), request.path, request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def keyed_filter(exchange, proceed):
    """Mark a call whose key may have been sent before.

    A refusal of such a call also covers the earlier requests with the key, so it must not say that
    the call did not run.

    :param exchange: the caller's exchange.
    :param proceed: the next filter of the chain.
    :return: None.
    """
    request = exchange.request
    if not is_idempotent(request.method) and header(request.headers, KEY_HEADER) is not None:
        exchange.is_keyed = not is_first_attempt(request.headers)
    proceed(exchange)


def _to_message(reply):
    return ClaimStatusMessage(0, reply.state.value, *pack_result(reply.result))
