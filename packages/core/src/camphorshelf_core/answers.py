"""A bounded cache of finished calls' answers, so that a repeated request gets the same answer."""

from collections import OrderedDict
from typing import NamedTuple

from .calls import Response

_ENTRY_OVERHEAD_BYTES = 400


class CachedAnswer(NamedTuple):
    """A finished call: its attempt, the request's digest, the result and the result's size."""

    attempt: object
    digest: bytes
    result: object
    bytes: int
    finished_at: float


class AnswerCache:
    """Caches answers by key; limited by number, total size and age."""

    def __init__(self, settings):
        self._settings = settings
        self._answers = OrderedDict()
        self._bytes = 0
        self._dropped = 0

    def __len__(self):
        return len(self._answers)

    @property
    def bytes(self):
        """The total size of the cached answers in bytes."""
        return self._bytes

    @property
    def dropped(self):
        """How many answers were dropped for lack of space before they expired."""
        return self._dropped

    def store(self, key, attempt, digest, result, now):
        """Store an answer; the oldest ones are dropped if the cache is full.

        :param key: the :class:`~camphorshelf_core.claimrecords.ClaimKey` of the call.
        :param attempt: the attempt that ran the call.
        :param digest: the digest of the request.
        :param result: the response or refusal.
        :param now: seconds on the monotonic clock.
        :return: None.
        """
        self.drop(key)
        size = _size_bytes(result)
        self._answers[key] = CachedAnswer(attempt, digest, result, size, now)
        self._bytes += size
        self._evict(now)

    def find(self, key, now):
        """Find a cached answer.

        :param key: the key of the call.
        :param now: seconds on the monotonic clock.
        :return: the :class:`CachedAnswer`, or None.
        """
        self._evict(now)
        return self._answers.get(key)

    def drop(self, key):
        """Drop an answer.

        :param key: the key of the call.
        :return: None.
        """
        cached = self._answers.pop(key, None)
        if cached is not None:
            self._bytes -= cached.bytes

    def _evict(self, now):
        settings = self._settings
        expired_before = now - settings.answer_age_ms / 1000
        while self._answers:
            key, cached = next(iter(self._answers.items()))
            is_full = (
                len(self._answers) > settings.kept_answers
                or self._bytes > settings.kept_answer_bytes
            )
            if not is_full and cached.finished_at > expired_before:
                return
            self._dropped += is_full
            self.drop(key)


def _size_bytes(result):
    if isinstance(result, Response):
        headers = sum(len(name) + len(value) for name, value in result.headers)
        return _ENTRY_OVERHEAD_BYTES + headers + len(result.body)
    return _ENTRY_OVERHEAD_BYTES
