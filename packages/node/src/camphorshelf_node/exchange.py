"""One request on its way through the filters and back."""

from camphorshelf_core.errors import Code, Ran, Refusal, http_status
from camphorshelf_core.retry import RETRIES_LEFT_HEADER

from .headers import strip_reserved

CALL_ID_HEADER = b"camphorshelf-call"


class Exchange:
    """A caller's request, and the one answer that it gets."""

    def __init__(self, connection, request, keep_alive, received):
        self._connection = connection
        self._on_disconnect = None
        self._finished = False
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
        """Whether the caller has the answer or is gone."""
        return self._finished

    @property
    def peer(self):
        """The IP number that the request came from."""
        return self._connection.peer

    def set_disconnect_handler(self, callback):
        """Say what to do when the caller goes away first.

        :param callback: takes no argument.
        :return: None.
        """
        self._on_disconnect = callback

    def record_disconnect(self):
        """Tell that the caller is gone.

        :return: None.
        """
        if not self._finished:
            self._finished = True
            if self._on_disconnect is not None:
                self._on_disconnect()

    def answer(self, response):
        """Give the caller a target's answer; a second answer is dropped.

        :param response: the :class:`Response`.
        :return: None.
        """
        self._send(response.status, strip_reserved(response.headers), response.body)

    def refuse(self, refusal):
        """Give the caller a final refusal; a second answer is dropped.

        :param refusal: the :class:`Refusal`.
        :return: None.
        """
        if not self._finished:
            self.code = refusal.code
        if self.is_keyed and refusal.ran is Ran.NOT_RUN:
            # This request did not run, but an earlier send of its key may have: a caller who
            # reads NOT_RUN would order again under a new key. Only the claim can tell.
            refusal = refusal._replace(ran=Ran.OUTCOME_UNKNOWN)
        status, headers, body = render_refusal(refusal)
        if self.retries_left is not None:
            headers.append((RETRIES_LEFT_HEADER, b"%d" % self.retries_left))
        self._send(status, headers, body)

    def guard(self, callback):
        """Wrap a callback of this call so that a fault in it refuses this call only.

        Without it the exception ends in the loop: the caller would wait until its deadline,
        and where the callback stood between two counts, they would never meet again.

        :param callback: any function.
        :return: the function to register in its place.
        """
        return wrap_callback(callback, self.fail)

    def fail(self, error):
        """Refuse the call after a fault of our own and cancel what was sent for it.

        :param error: the exception.
        :return: None.
        """
        if self._finished:
            raise error
        self.refuse(internal_error_refusal(error))
        self._connection.report_fault(error)
        if self._on_disconnect is not None:
            self._on_disconnect()

    def _send(self, status, headers, body):
        if self._finished:
            return
        self._finished = True
        if self.call_id is not None:
            headers = (*headers, (CALL_ID_HEADER, self.call_id.encode()))
        self._connection.answer(self, status, headers, body)


def render_refusal(refusal):
    """Put a refusal in terms of HTTP.

    :param refusal: the :class:`Refusal`.
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
    """Wrap a callback so that a fault in it goes to the call that it belongs to.

    :param callback: any function.
    :param fail: takes the exception.
    :return: the function to register in its place.
    """

    def run(*arguments):
        try:
            callback(*arguments)
        except Exception as error:
            fail(error)

    return run


def internal_error_refusal(error):
    """Make the refusal of a call that met a fault of our own.

    :param error: the exception.
    :return: the :class:`Refusal`.
    """
    # It is not known how far the call had come when the fault struck.
    reason = f"a fault inside the node: {type(error).__name__}"
    return Refusal(Code.INTERNAL, reason, Ran.OUTCOME_UNKNOWN)
