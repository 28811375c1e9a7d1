"""A caller's request and its single response or refusal."""

from camphorshelf_core.errors import Code, Ran, Refusal, http_status
from camphorshelf_core.retry import RETRIES_LEFT_HEADER

from .headers import strip_reserved

CALL_ID_HEADER = b"camphorshelf-call"


class Exchange:
    """A caller's request; sends exactly one response or refusal to the caller."""

    def __init__(self, connection, request, keep_alive, received):
        self._connection = connection
        self._on_disconnect = None
        self._finished = False
        self._is_streaming = False
        # Whether the end of a response of unknown length can be told from a lost connection.
        self.may_stream = False
        # What the connection has counted for the request in the memory budget.
        self.request_bytes = 0
        self.request = request
        self.keep_alive = keep_alive
        self.received = received
        self.started = received
        self.deadline = None
        self.service = None
        self.code = Code.OK
        self.caller = None
        self.retries_left = None
        self.is_keyed = False
        self.timer = None
        self.call_id = None

    @property
    def finished(self):
        """Whether the response was sent or the caller has disconnected."""
        return self._finished

    @property
    def peer(self):
        """The IP address of the caller."""
        return self._connection.peer

    def set_disconnect_handler(self, callback):
        """Set what to call when the caller disconnects before it has a response.

        :param callback: called without arguments.
        :return: None.
        """
        self._on_disconnect = callback

    def record_disconnect(self):
        """Record that the caller has disconnected, and call the disconnect handler.

        :return: None.
        """
        if not self._finished:
            self._finished = True
            on_disconnect = self._release_handler()
            if on_disconnect is not None:
                on_disconnect()

    def answer(self, response):
        """Send a target's response to the caller, unless the exchange is finished.

        :param response: the :class:`~camphorshelf_core.calls.Response`.
        :return: None.
        """
        self._send(response.status, strip_reserved(response.headers), response.body)

    def begin(self, response, length, on_consumed):
        """Begin to send a response whose body follows in parts.

        :param response: the :class:`~camphorshelf_core.calls.Response` without its body.
        :param length: the length of the body in bytes; None if it is not known.
        :param on_consumed: called with the number of bytes of the body that the caller's connection
            has taken.
        :return: None.
        """
        if not self._finished:
            self._is_streaming = True
            headers = strip_reserved(response.headers)
            self._connection.begin(self, response.status, headers, length, on_consumed)

    def write(self, part):
        """Send a part of the body of a response that has begun.

        :param part: the bytes.
        :return: None.
        """
        if not self._finished:
            self._connection.write_body(self, part)

    def end(self):
        """End the response that has begun; its body is whole.

        :return: None.
        """
        if not self._finished:
            self._finished = True
            self._release_handler()
            self._connection.end_body(self)

    def cut(self):
        """End the caller's connection, because the rest of the body will not come.

        :return: None.
        """
        if not self._finished:
            self._finished = True
            self._release_handler()
            self._connection.cut_body(self)

    def refuse(self, refusal):
        """Send a refusal to the caller, unless the exchange is finished.

        :param refusal: the :class:`~camphorshelf_core.errors.Refusal`.
        :return: None.
        """
        if not self._finished:
            self.code = refusal.code
        if self.is_keyed and refusal.ran is Ran.NOT_RUN:
            # This request did not run, but an earlier request with the same key may have. A caller
            # that reads NOT_RUN could repeat the operation under a new key, and it would run twice.
            # Only the key's claim tells whether it ran.
            refusal = refusal._replace(ran=Ran.OUTCOME_UNKNOWN)
        status, headers, body = render_refusal(refusal)
        if self.retries_left is not None:
            headers.append((RETRIES_LEFT_HEADER, b"%d" % self.retries_left))
        self._send(status, headers, body)

    def guard(self, callback):
        """Wrap a callback of this call so that an exception in it refuses this call.

        Otherwise the loop catches the exception: the caller would wait until its deadline, and
        counters that the callback had updated only in part would stay inconsistent.

        :param callback: any function.
        :return: the function to register instead.
        """
        return wrap_callback(callback, self.fail)

    def fail(self, error):
        """Refuse the call after an exception in the node, and cancel its attempts.

        :param error: the exception.
        :return: None.
        """
        if self._finished:
            raise error
        on_disconnect = self._on_disconnect
        if self._is_streaming:
            self.cut()
        else:
            self.refuse(internal_error_refusal(error))
        self._connection.report_fault(error)
        if on_disconnect is not None:
            on_disconnect()

    def _release_handler(self):
        # The handler refers to the exchange. The garbage collector finds such a cycle late, and a
        # request may take much memory.
        on_disconnect, self._on_disconnect = self._on_disconnect, None
        return on_disconnect

    def _send(self, status, headers, body):
        if self._finished:
            return
        self._finished = True
        self._release_handler()
        if self.call_id is not None:
            headers = (*headers, (CALL_ID_HEADER, self.call_id.encode()))
        self._connection.answer(self, status, headers, body)


def render_refusal(refusal):
    """Render a refusal as an HTTP response.

    :param refusal: the :class:`~camphorshelf_core.errors.Refusal`.
    :return: the status, the headers and the body.
    """
    headers = [
        (b"content-type", b"text/plain; charset=utf-8"),
        (b"camphorshelf-code", b"%d" % refusal.code),
        (b"camphorshelf-ran", refusal.ran.value.encode()),
    ]
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // 1000)
        headers.append((b"retry-after", b"%d" % seconds))
        headers.append((b"retry-after-ms", b"%d" % refusal.retry_after_ms))
    body = f"{refusal.code.value} {refusal.code.name} {refusal.ran.value}: {refusal.reason}\n"
    return http_status(refusal.code), headers, body.encode()


def wrap_callback(callback, fail):
    """Wrap a callback so that an exception in it is passed to its call.

    :param callback: any function.
    :param fail: called with the exception.
    :return: the function to register instead.
    """

    def run(*arguments):
        try:
            callback(*arguments)
        except Exception as error:
            fail(error)

    return run


def internal_error_refusal(error):
    """Build the refusal of a call that failed with an exception in the node.

    :param error: the exception.
    :return: the :class:`Refusal`.
    """
    # It is unknown whether the call had already been sent to the target.
    reason = f"a fault inside the node: {type(error).__name__}"
    return Refusal(Code.INTERNAL, reason, Ran.OUTCOME_UNKNOWN)
