"""One connection to the local target; it carries one request at a time.

A connection that behaves in any unexpected way is closed instead of being reused: bytes that
arrive on it later could be taken for the response to another request.
"""

from collections import deque
from typing import NamedTuple

from camphorshelf_core.calls import Response
from camphorshelf_node.embeddedheads import HeadScanner, find_heads
from camphorshelf_node.headers import render_request, render_request_head
from camphorshelf_node.responsereader import Framing, ResponseError, ResponseReader

# The largest body of a response that is passed on in parts. Others are limited by what all of them
# may hold together.
MAX_BODY_BYTES = 128 * 1024 * 1024
# Smaller bodies are passed on as a whole.
_MIN_STREAMED_BYTES = 16 * 1024
# Request ids remembered per connection, to recognise a late second response to one of them. Few
# responses to other requests arrive before such a response.
_REMEMBERED_REQUESTS = 32


class Origin(NamedTuple):
    """How a response was received on its connection.

    :param framing: how the end of its body was determined: ``length``, ``chunked`` or ``close``.
    :param reused: whether the connection had carried another request before.
    :param skipped: the number of responses to other requests that came before it.
    """

    framing: str
    reused: bool
    skipped: int


class TargetResponse(NamedTuple):
    """A complete response of a target.

    :param response: status, headers and body.
    :param metadata: the :class:`~camphorshelf_relay.settings.TargetMetadata` from its headers.
    :param origin: the :class:`Origin`, for the log.
    """

    response: Response
    metadata: object
    origin: Origin


class StreamedHead(NamedTuple):
    """The checked head of a response whose body is still arriving.

    :param head: the :class:`~camphorshelf_node.responsereader.ResponseHead`.
    :param metadata: the :class:`~camphorshelf_relay.settings.TargetMetadata` from its headers.
    """

    head: object
    metadata: object


class RequestFailure(NamedTuple):
    """The result of a request that got no complete response.

    :param reason: one sentence.
    :param sent: whether the request was written to the target, so that it may have run.
    :param crashed: whether the connection broke after the request was sent and before the head of
        its response was complete.
    :param withdrawn: whether the request was not sent because it was no longer wanted.
    """

    reason: str
    sent: bool
    crashed: bool = False
    withdrawn: bool = False


class TargetConnection:
    """A connection of a :class:`~camphorshelf_relay.targetpool.TargetConnectionPool`.

    :param loop: the node's loop.
    :param stream: the connection's :class:`~camphorshelf_node.streams.Stream`.
    :param header_codec: the :class:`~camphorshelf_relay.settings.HeaderCodec`.
    :param pool: the pool that the connection belongs to.
    """

    def __init__(self, loop, stream, header_codec, pool):
        self._loop = loop
        self._pool = pool
        self._stream = stream
        self._header_codec = header_codec
        self._on_done = None
        self._is_wanted = None
        self._request = None
        self._request_id = ""
        self._connected = False
        self._sent = False
        self._reused = False
        self._reader = None
        # The body that is sent in parts, None for one that was sent with the head.
        self._body = None
        self._metadata = None
        self._on_head = None
        self._on_body = None
        self._scanner = None
        # Whether the streamed body contains a head of a response to another request.
        self._has_other_head = False
        self._carried_ids = deque(maxlen=_REMEMBERED_REQUESTS)
        self.idle_since = 0.0
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        stream.on_connect = self._on_connect
        stream.on_drain = self._send_body

    @property
    def stale(self):
        """Whether the target has closed the connection or sent bytes while it was idle."""
        return self._stream.closed or self._stream.stale

    def has_carried(self, request_id):
        """Tell whether a request with this id was recently sent on the connection.

        :param request_id: the id.
        :return: True or False.
        """
        return request_id in self._carried_ids

    def send(
        self,
        request,
        request_id,
        on_done,
        is_wanted,
        on_head=None,
        max_body_bytes=MAX_BODY_BYTES,
    ):
        """Send a request.

        :param request: the :class:`~camphorshelf_core.calls.Request`; its body is bytes, or one of
            the classes of :mod:`camphorshelf_core.bodies`.
        :param request_id: the request id that the response must carry; empty if it need not.
        :param on_done: called once with a :class:`TargetResponse` or a :class:`RequestFailure`.
        :param is_wanted: called when a new connection is open; if it returns False, the request is
            withdrawn.
        :param on_head: called with a :class:`StreamedHead` and this connection while the body of a
            successful response arrives; returns a function that takes the parts of the body, or
            None to get the whole response at once. If the body is streamed, the body of the
            :class:`TargetResponse` is empty. None to stream no response.
        :param max_body_bytes: the largest body that is accepted.
        :return: None.
        """
        self._on_head = on_head
        self._on_body = None
        self._is_wanted = is_wanted
        self._request = request
        self._body = None
        self._request_id = request_id
        self._on_done = on_done
        self._sent = False
        self._reused = self._reader is not None
        self._reader = ResponseReader(request.method, max_body_bytes, self._is_expected_response)
        if self._connected:
            self._write()

    def abort(self):
        """Close the connection at once without calling ``on_done``."""
        self._on_done = None
        self._stream.close()

    def close(self):
        """Close the connection at once."""
        self._stream.close()

    def set_paused(self, is_paused):
        """Pause or resume reading, so that TCP flow control stops the target meanwhile.

        :param is_paused: whether to pause.
        :return: None.
        """
        if is_paused:
            self._stream.pause()
        else:
            self._stream.resume()

    def fail_for_memory(self):
        """Drop the response that arrives, as there is no memory for it.

        :return: None.
        """
        reason = "the response holds more memory than the node has for responses"
        self._fail(RequestFailure(reason, sent=True))

    def _is_expected_response(self, status, headers):
        metadata = self._metadata = self._header_codec.parse_target(status, headers)
        if not self._request_id:
            return not self.has_carried(metadata.request_id)
        if metadata.request_id:
            return metadata.request_id == self._request_id
        # Targets send the request id with their responses. Only an early error response may lack
        # it, and on a reused connection that could be the late response to a probe.
        return status >= 300 and not self._reused

    def _on_connect(self):
        self._connected = True
        if self._on_done is None:
            return
        if self._is_wanted():
            self._write()
        else:
            self._fail(
                RequestFailure("the target takes no work any more", sent=False, withdrawn=True)
            )

    def _write(self):
        self._sent = True
        request, self._request = self._request, None
        if isinstance(request.body, bytes):
            self._stream.write(render_request(request))
            return
        self._body = request.body
        self._stream.write(render_request_head(request, request.body.length))
        self._body.start(self._send_body)
        self._send_body()

    def _send_body(self):
        # The next part is read when the target has taken those before it.
        while self._body is not None and not self._stream.unsent and not self._stream.closed:
            part = self._body.read()
            if not part:
                return
            self._stream.write(part)

    def _on_data(self, data):
        if self._on_done is None:
            self._pool.on_stray("", "idle")
            self._stream.close()
            return
        try:
            self._reader.feed(data)
        except ResponseError as error:
            self._fail(RequestFailure(str(error), sent=True))
            return
        if self._reader.response is not None:
            self._deliver()
            return
        if self._on_head is not None:
            self._stream_body()
        elif (self._reader.declared_bytes or 0) > self._pool.buffer.max_bytes:
            self.fail_for_memory()
        if self._on_done is not None:
            self._pool.hold(self, self._reader.buffered_bytes)

    def _stream_body(self):
        # The body of a streamed response is not known to be whole until its end. What is passed on
        # before can't be taken for a whole response: the last part is passed on only after the
        # check of the whole body.
        if self._on_body is None and not self._start_streaming():
            return
        part = self._reader.take_body()
        if self._is_part_suspicious(self._scanner.feed(part)):
            self._fail(RequestFailure("the answer's body runs on into another answer", sent=True))
        else:
            self._on_body(part)

    def _start_streaming(self):
        if self._reader.buffered_bytes < _MIN_STREAMED_BYTES:
            return False
        head = self._reader.find_head()
        if head is None or self._find_head_error(head.status) is not None:
            return False
        # Only a success is streamed; all others may lead to a retry and are small.
        if not self._metadata.is_signed or not 200 <= head.status < 300:
            return False
        self._on_body = self._on_head(StreamedHead(head, self._metadata), self)
        self._scanner = HeadScanner()
        self._has_other_head = False
        return self._on_body is not None and self._on_done is not None

    def _is_part_suspicious(self, heads):
        for head in heads:
            if self._is_response_head(head, of_any_request=False):
                return True
            self._has_other_head |= self._is_response_head(head, of_any_request=True)
        return False

    def _deliver(self):
        if self._request_id:
            self._carried_ids.append(self._request_id)
        reader, metadata = self._reader, self._metadata
        self._report_strays()
        if metadata.keep_alive_s is not None:
            self._pool.keep_alive_s = max(0.5, metadata.keep_alive_s)
        error = self._find_error()
        if error is not None:
            self._fail(RequestFailure(error, sent=True))
            return
        if self._on_body is not None:
            self._on_body(reader.response.body)
        on_done, self._on_done = self._on_done, None
        if on_done is None:
            return
        # A target may answer before it has read the whole request body. It would read another
        # request on the same connection as the rest of that body.
        is_body_sent = self._body is None or self._body.is_read
        is_reusable = reader.is_connection_reusable and is_body_sent and not self._stream.unsent
        self._body = None
        # The connection is released in the next iteration of the loop, to detect bytes that the
        # target sends directly after its response. They could be taken for the response to the
        # next request.
        self._loop.call_later(0, lambda: self._release(is_reusable))
        origin = Origin(reader.framing.value, self._reused, reader.skipped)
        response = reader.response
        if self._on_body is not None:
            response = response._replace(body=b"")
        self._release_memory()
        on_done(TargetResponse(response, metadata, origin))
        # The reader of a streamed body may have paused the connection.
        self._stream.resume()

    def _find_error(self):
        error = self._find_head_error(self._reader.response.status)
        if error is None and self._contains_second_response():
            return "the answer's body runs on into another answer"
        return error

    def _find_head_error(self, status):
        if self._metadata.is_content_encoded:
            return "the answer's body is not what the target made"
        if self._request_id and status < 300 and not self._metadata.is_signed:
            return "the answer is a success without the target's signature"
        return None

    def _contains_second_response(self):
        # If a response is truncated, the reader takes the next response on the connection for the
        # rest of its body.
        reader = self._reader
        # The end of the body is uncertain, so a response to any request may be its rest.
        of_any_request = reader.framing is Framing.CLOSE or reader.has_trailing_data
        if self._on_body is None and not reader.trailing_data:
            heads = find_heads(reader.response.body)
            return any(self._is_response_head(head, of_any_request) for head in heads)
        scanner = HeadScanner() if self._on_body is None else self._scanner
        heads = scanner.feed(reader.response.body)
        heads_across = scanner.find_heads_across(reader.trailing_data)
        if any(self._is_response_head(head, of_any_request=True) for head in heads_across):
            return True
        heads += scanner.end()
        if self._on_body is not None:
            return self._is_part_suspicious(heads) or (of_any_request and self._has_other_head)
        return any(self._is_response_head(head, of_any_request) for head in heads)

    def _is_response_head(self, head, of_any_request):
        reader = self._reader
        if not head.is_whole:
            # A target always writes the same header first. The last header name of the incomplete
            # head may be truncated.
            name, _ = head.headers[0]
            is_alike = reader.first_header_name.startswith(name)
            return is_alike and (len(head.headers) == 1 or name == reader.first_header_name)
        request_id = self._header_codec.parse_target(head.status, head.headers).request_id
        if of_any_request:
            return bool(request_id)
        return bool(request_id) and (request_id == self._request_id or self.has_carried(request_id))

    def _report_strays(self):
        if self._reader.skipped:
            self._pool.on_stray(self._request_id, "ahead")
        if self._reader.has_trailing_data:
            self._pool.on_stray(self._request_id, "behind")

    def _release(self, is_reusable):
        if self._stream.closed:
            return
        if is_reusable and not self._stream.stale:
            self._pool.release(self)
        else:
            self._stream.close()

    def _fail(self, failure):
        on_done, self._on_done = self._on_done, None
        self._stream.close()
        self._release_memory()
        if on_done is not None:
            on_done(failure)

    def _on_close(self):
        self._pool.discard(self)
        if self._on_done is None:
            self._release_memory()
            return
        if self._stream.ended_cleanly:
            # A response without a length ends when the target closes the connection. A reset does
            # not count as its end.
            self._reader.end()
        if self._reader.response is not None:
            self._deliver()
        elif self._sent:
            self._fail(
                RequestFailure(
                    "the connection was lost",
                    True,
                    crashed=self._reader.is_in_head,
                )
            )
        else:
            self._fail(RequestFailure("no connection", sent=False))

    def _release_memory(self):
        self._pool.hold(self, 0)
        if self._reader is not None:
            self._reader.discard()
