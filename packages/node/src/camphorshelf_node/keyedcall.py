"""Executes a call with an idempotency key independently of the callers that wait for it."""

from .exchange import internal_error_refusal, wrap_callback


class KeyedCall:
    """Takes the place of a caller's exchange once the key is claimed.

    The call goes on when its caller disconnects: the response is stored for when the caller sends
    the request again.
    """

    def __init__(self, exchange, on_result):
        self._on_result = on_result
        self._finished = False
        self.request = exchange.request
        self.service = exchange.service
        self.received = exchange.received
        self.started = exchange.started
        self.deadline = exchange.deadline
        self.caller = exchange.caller
        self.call_id = exchange.call_id

    @property
    def finished(self):
        """Whether the result is known."""
        return self._finished

    def set_disconnect_handler(self, callback):
        """Ignore the handler: this call goes on when its caller disconnects.

        :param callback: never called.
        :return: None.
        """

    def answer(self, response):
        """End the call with the target's response.

        :param response: the :class:`~camphorshelf_core.calls.Response`.
        :return: None.
        """
        self._finish(response)

    def refuse(self, refusal):
        """End the call with a refusal.

        :param refusal: the :class:`~camphorshelf_core.errors.Refusal`.
        :return: None.
        """
        self._finish(refusal)

    def guard(self, callback):
        """Wrap a callback of this call so that an exception in it ends this call.

        :param callback: any function.
        :return: the function to register instead.
        """
        return wrap_callback(callback, self.fail)

    def fail(self, error):
        """End the call after an exception in the node.

        :param error: the exception.
        :return: None.
        """
        if self._finished:
            raise error
        self.refuse(internal_error_refusal(error))

    def _finish(self, result):
        if not self._finished:
            self._finished = True
            self._on_result(result)
