"""A call under a key on its way to a target, apart from the callers that wait for it."""

from .exchange import internal_error_refusal, wrap_callback


class KeyedCall:
    """Stands in for a caller's exchange behind the claim.

    A caller that goes away does not take the call with it: the answer is kept for its resend.
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
        """Take note of nothing: this call is not given up with its caller.

        :param callback: never called.
        :return: None.
        """

    def answer(self, response):
        """Take the target's answer.

        :param response: the response.
        :return: None.
        """
        self._finish(response)

    def refuse(self, refusal):
        """Take the final refusal.

        :param refusal: the refusal.
        :return: None.
        """
        self._finish(refusal)

    def guard(self, callback):
        """Wrap a callback of this call so that a fault in it ends this call only.

        :param callback: any function.
        :return: the function to register in its place.
        """
        return wrap_callback(callback, self.fail)

    def fail(self, error):
        """End the call after a fault of our own.

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
