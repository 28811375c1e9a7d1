"""One connection to the target beside the node; it carries one request at a time.

A connection that has done anything unexpected is closed, never kept: what it delivers later would
be taken for the answer to another request.
"""

from collections import deque
from typing import NamedTuple

from camphorshelf_core.calls import Response
from camphorshelf_node.embeddedheads import find_heads
from camphorshelf_node.headers import render_request
from camphorshelf_node.responsereader import Framing, ResponseError, ResponseReader

_MAX_BODY_BYTES = 128 * 1024 * 1024
# A second answer that is late comes behind few others on its connection.
_REMEMBERED_REQUESTS = 32


class Origin(NamedTuple):
    """How an answer was found on its connection.

    :param framing: what ended its body: ``length``, ``chunked`` or ``close``.
    :param reused: whether the connection had carried another request before.
    :param skipped: answers to other requests that came before it.
    """

    framing: str
    reused: bool
    skipped: int


class Answered(NamedTuple):
    """A target's whole answer.

    :param response: status, headers and body.
    :param word: what the target says of itself and of the request on it.
    :param origin: the :class:`Origin`, for the log.
    """

    response: Response
    word: object
    origin: Origin


class Lost(NamedTuple):
    """A request without a whole answer.

    :param reason: one sentence.
    :param sent: whether it may have run.
    :param crashed: whether the connection broke off while the target had the request.
    :param withdrawn: whether it was not sent because it was not wanted any more.
    """

    reason: str
    sent: bool
    crashed: bool = False
    withdrawn: bool = False


class TargetConnection:
    """A connection of a :class:`~camphorshelf_relay.targetlink.TargetLink`.

    :param loop: the node's loop.
    :param stream: its :class:`~camphorshelf_node.streams.Stream`.
    :param dialect: how the target is spoken to.
    :param link: the link that it belongs to.
    """

    def __init__(self, loop, stream, dialect, link):
        self._loop = loop
        self._link = link
        self._stream = stream
        self._dialect = dialect
        self._on_done = None
        self._is_wanted = None
        self._request = None
        self._request_id = ""
        self._connected = False
        self._sent = False
        self._reused = False
        self._reader = None
        self._word = None
        self._carried = deque(maxlen=_REMEMBERED_REQUESTS)
        self.idle_since = 0.0
        stream.on_data = self._on_data
        stream.on_close = self._on_close
        stream.on_connect = self._on_connect

    @property
    def stale(self):
        """Whether the target has closed the connection or said something unasked."""
        return self._stream.closed or self._stream.stale

    def has_carried(self, request_id):
        """Tell whether a request of this id went over the connection lately.

        :param request_id: the id.
        :return: whether it did.
        """
        return request_id in self._carried

    def run(self, request, request_id, on_done, is_wanted):
        """Send a request; parameters as of the link's ``send``."""
        self._is_wanted = is_wanted
        self._request = request
        self._request_id = request_id
        self._on_done = on_done
        self._sent = False
        self._reused = self._reader is not None
        self._reader = ResponseReader(request.method, _MAX_BODY_BYTES, self._is_own)
        if self._connected:
            self._write()

    def abort(self):
        """Close at once and tell nobody."""
        self._on_done = None
        self._stream.close()

    def close(self):
        """Close at once."""
        self._stream.close()

    def _is_own(self, status, headers):
        word = self._word = self._dialect.read_target(status, headers)
        if not self._request_id:
            return not self.has_carried(word.request_id)
        if word.request_id:
            return word.request_id == self._request_id
        # Targets name the request they answer; only a bare refusal may leave it out, and on a
        # connection that was in use it may be the late answer to a probe.
        return status >= 300 and not self._reused

    def _on_connect(self):
        self._connected = True
        if self._on_done is None:
            return
        if self._is_wanted():
            self._write()
        else:
            self._fail(Lost("the target takes no work any more", sent=False, withdrawn=True))

    def _write(self):
        self._sent = True
        self._stream.write(render_request(self._request))

    def _on_data(self, data):
        if self._on_done is None:
            self._link.on_stray("", "idle")
            self._stream.close()
            return
        try:
            self._reader.feed(data)
        except ResponseError as error:
            self._fail(Lost(str(error), sent=True))
            return
        if self._reader.response is not None:
            self._deliver()

    def _deliver(self):
        if self._request_id:
            self._carried.append(self._request_id)
        reader, word = self._reader, self._word
        self._tell_strays()
        if word.idle_s is not None:
            self._link.idle_s = max(0.5, word.idle_s)
        flaw = self._find_flaw()
        if flaw is not None:
            self._fail(Lost(flaw, sent=True))
            return
        on_done, self._on_done = self._on_done, None
        # A target may answer before it has read the whole body. Another request on the same
        # connection would be read as the rest of it.
        is_reusable = reader.leaves_reusable and not self._stream.unsent
        # Kept in the loop's next turn: what the target sends at once behind its answer would be
        # taken for the answer to the next request.
        self._loop.call_later(0, lambda: self._rest(is_reusable))
        origin = Origin(reader.framing.value, self._reused, reader.skipped)
        on_done(Answered(reader.response, word, origin))

    def _find_flaw(self):
        status = self._reader.response.status
        if self._word.encoded:
            return "the answer's body is not what the target made"
        if self._request_id and status < 300 and not self._word.signed:
            return "the answer is a success without the target's signature"
        if self._holds_second_answer():
            return "the answer's body runs on into another answer"
        return None

    def _holds_second_answer(self):
        # Cut short of its end, an answer is filled up by the next one on its connection.
        reader = self._reader
        heads = find_heads(reader.response.body)
        return any(self._is_second(head, reader) for head in heads)

    def _is_second(self, head, reader):
        if not head.is_whole:
            # One target writes all its heads alike; the last name may be a part of one.
            name, _ = head.headers[0]
            is_alike = reader.first_name.startswith(name)
            return is_alike and (len(head.headers) == 1 or name == reader.first_name)
        request_id = self._dialect.read_target(head.status, head.headers).request_id
        if reader.framing is Framing.CLOSE or reader.has_surplus:
            return bool(request_id)
        return bool(request_id) and (request_id == self._request_id or self.has_carried(request_id))

    def _tell_strays(self):
        if self._reader.skipped:
            self._link.on_stray(self._request_id, "ahead")
        if self._reader.has_surplus:
            self._link.on_stray(self._request_id, "behind")

    def _rest(self, is_reusable):
        if self._stream.closed:
            return
        if is_reusable and not self._stream.stale:
            self._link.give_back(self)
        else:
            self._stream.close()

    def _fail(self, lost):
        on_done, self._on_done = self._on_done, None
        self._stream.close()
        if on_done is not None:
            on_done(lost)

    def _on_close(self):
        self._link.forget(self)
        if self._on_done is None:
            return
        if self._stream.ended_cleanly:
            # A reset would not be the end of an answer without a length.
            self._reader.end()
        if self._reader.response is not None:
            self._deliver()
        elif self._sent:
            self._fail(Lost("the connection was lost", True, crashed=self._reader.is_in_head))
        else:
            self._fail(Lost("no connection", sent=False))
