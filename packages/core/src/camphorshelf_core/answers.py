"""A bounded memory of finished calls' answers, so that a resend gets the same one again."""

from collections import OrderedDict
from typing import NamedTuple

from .calls import Response

_OVERHEAD_BYTES = 400


class CachedAnswer(NamedTuple):
    """A finished call: who asked what, and what came of it."""

    attempt: object
    digest: bytes
    result: object
    bytes: int
    finished_at: float


class AnswerCache:
    """Keeps answers by key, within a count, a number of bytes and an age."""

    def __init__(self, settings):
        self._settings = settings
        self._answers = OrderedDict()
        self._bytes = 0
        self._dropped = 0

    def __len__(self):
        return len(self._answers)

    @property
    def bytes(self):
        """The bytes that the kept answers take."""
        return self._bytes

    @property
    def dropped(self):
        """How many answers had to go before their age."""
        return self._dropped

    def store(self, key, attempt, digest, result, now):
        """Keep an answer, dropping the oldest ones where there is no room.

        :param key: what the caller names the call by.
        :param attempt: the attempt that ran it.
        :param digest: the request's.
        :param result: the response or refusal.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.drop(key)
        size = _size(result)
        self._answers[key] = CachedAnswer(attempt, digest, result, size, now)
        self._bytes += size
        self._trim(now)

    def find(self, key, now):
        """Find a kept answer.

        :param key: the key.
        :param now: seconds on the monotonic clock.
        :return: the :class:`CachedAnswer`, or None.
        """
        self._trim(now)
        return self._answers.get(key)

    def drop(self, key):
        """Forget an answer.

        :param key: the key.
        :return: None.
        """
        kept = self._answers.pop(key, None)
        if kept is not None:
            self._bytes -= kept.bytes

    def _trim(self, now):
        settings = self._settings
        oldest_allowed = now - settings.answer_age_ms / 1000
        while self._answers:
            key, kept = next(iter(self._answers.items()))
            is_full = (
                len(self._answers) > settings.kept_answers
                or self._bytes > settings.kept_answer_bytes
            )
            if not is_full and kept.finished_at > oldest_allowed:
                return
            self._dropped += is_full
            self.drop(key)


def _size(result):
    if isinstance(result, Response):
        headers = sum(len(name) + len(value) for name, value in result.headers)
        return _OVERHEAD_BYTES + headers + len(result.body)
    return _OVERHEAD_BYTES
