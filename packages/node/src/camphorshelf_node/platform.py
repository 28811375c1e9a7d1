"""The client of the platform's table service and object store, by their published protocols."""

import json
import random
from email.utils import parsedate_to_datetime

from returns.result import Failure, Success

from camphorshelf_core.budget import TokenBucket
from camphorshelf_core.calls import Request, header
from camphorshelf_core.circuit import CircuitBreaker
from camphorshelf_core.settings import split_address
from camphorshelf_core.table import ReadFailure, WriteOutcome

from .httpclient import HttpClient, RequestFailure
from .rows import (
    TABLE,
    Put,
    encode_delete,
    encode_key,
    encode_put,
    read_answer,
    read_query,
    read_row,
    read_write_results,
)

_MAX_CONNECTIONS = 8
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_TABLE_API_VERSION = "DynamoDB_20120810"
# Background requests, which nobody waits for, are sent only while more than this share of the
# budget is left for other requests.
_BACKGROUND_RESERVE_SHARE = 0.5


class Platform:
    """Reads and writes rows and objects; results are always passed to a callback later.

    :param loop: the node's loop.
    :param settings: the :class:`~camphorshelf_core.settings.PlatformSettings`.
    :param memory: the process's :class:`~camphorshelf_node.memoryguard.MemoryGuard`, or None.
    """

    def __init__(self, loop, settings, memory=None):
        self._memory = memory
        self._loop = loop
        self._settings = settings
        self._timeout_s = settings.timeout_ms / 1000
        self._circuit = CircuitBreaker(random.Random())
        rate = settings.requests_per_second
        self._budget = TokenBucket(rate, rate, loop.now())
        self._table = self._make_client(settings.table)
        self._objects = self._make_client(settings.objects)
        self._date = None

    @property
    def retry_after(self):
        """Seconds until the next attempt after failures; 0 while the platform answers."""
        return self._circuit.retry_after(self._loop.now())

    @property
    def time(self):
        """The platform's clock as Unix time in seconds, or None before its first response."""
        if self._date is None:
            return None
        date, read_at = self._date
        return parsedate_to_datetime(date).timestamp() + self._loop.now() - read_at

    def put(self, partition, key, data, on_done):
        """Write a row unconditionally.

        :param partition: the row's partition.
        :param key: the row's key in the partition.
        :param data: the row's bytes.
        :param on_done: called with True, or with None if the row was not or may not be written.
        :return: None.
        """

        def done(result):
            on_done(True if result.outcome is WriteOutcome.APPLIED else None)

        self._write("PutItem", encode_put(Put(partition, key, data, 1, conditional=False)), done)

    def put_if(self, partition, key, data, expected, on_done, version=None):
        """Write a row if it still has the expected version.

        :param partition: the row's partition.
        :param key: the row's key in the partition.
        :param data: the row's bytes.
        :param expected: the version to replace, or None if the row must not exist.
        :param on_done: called with the :class:`~camphorshelf_core.table.WriteResult`.
        :param version: the new version (default: the expected one plus one).
        :return: None.
        """
        if version is None:
            version = (expected or 0) + 1
        put = Put(partition, key, data, version, expected)
        self._write("PutItem", encode_put(put), on_done)

    def put_all_if(self, puts, on_done, background=False):
        """Write several rows in one transaction if each still has its expected version.

        :param puts: a list of :class:`~camphorshelf_node.rows.Put` of different rows.
        :param on_done: called with a list of :class:`~camphorshelf_core.table.WriteResult`, one for
            each row. If a condition fails, the rows whose condition holds are ``NOT_APPLIED``.
        :param background: whether nobody waits for the result.
        :return: None.
        """
        if len(puts) == 1:
            body = encode_put(puts[0])
            self._write("PutItem", body, lambda result: on_done([result]), background)
            return
        body = {"TransactItems": [{"Put": encode_put(put)} for put in puts]}

        def done(result):
            on_done(read_write_results(result, len(puts)))

        self._call_table("TransactWriteItems", body, done, background)

    def delete_if_same(self, partition, key, data, on_done):
        """Delete a row if its bytes are unchanged.

        :param partition: the row's partition.
        :param key: the row's key in the partition.
        :param data: the row's bytes as they were read.
        :param on_done: called with the :class:`~camphorshelf_core.table.WriteResult`.
        :return: None.
        """
        self._write("DeleteItem", encode_delete(partition, key, data), on_done, background=True)

    def get(self, partition, key, on_done):
        """Read a row with strong consistency.

        :param partition: the row's partition.
        :param key: the row's key in the partition.
        :param on_done: called with ``Success`` of a :class:`~camphorshelf_core.table.Row` or None
            (no such row), or ``Failure`` of a :class:`~camphorshelf_core.table.ReadFailure`.
        :return: None.
        """
        body = {
            "TableName": TABLE,
            "Key": encode_key(partition, key),
            "ConsistentRead": True,
        }

        def done(result):
            on_done(read_answer(result).map(lambda answer: read_row(answer.get("Item"))))

        self._call_table("GetItem", body, done)

    def query(self, partition, on_done, limit=None, start_after=None):
        """Read rows of a partition in the order of their keys.

        :param partition: the partition's name.
        :param on_done: called with a dict of key to bytes, or None if the read failed.
        :param limit: the maximum number of rows to read (None: all).
        :param start_after: read the rows with greater keys; if there are fewer than ``limit``, the
            read continues at the first key of the partition.
        :return: None.
        """

        def done(result):
            rows = read_query(result)
            if rows is None or start_after is None or len(rows) >= limit:
                on_done(rows)
                return
            self.query(
                partition,
                lambda first_rows: on_done(_merge_rows(rows, first_rows)),
                limit - len(rows),
            )

        self._call_table("Query", _query_body(partition, limit, start_after), done)

    def put_object(self, path, data, on_done):
        """Write an object.

        :param path: the object's path, which starts with a slash.
        :param data: the object's bytes.
        :param on_done: called with the :class:`~camphorshelf_core.table.WriteOutcome`.
        :return: None.
        """
        request = Request("PUT", path.encode(), ((b"host", b"objects"),), data)

        def done(result):
            if isinstance(result, RequestFailure):
                on_done(WriteOutcome.UNKNOWN if result.sent else WriteOutcome.NOT_APPLIED)
            elif result.status >= 500:
                on_done(WriteOutcome.UNKNOWN)
            else:
                applied = result.status < 300
                on_done(WriteOutcome.APPLIED if applied else WriteOutcome.NOT_APPLIED)

        self._send(self._objects, request, done)

    def get_object(self, path, on_done):
        """Read an object.

        :param path: the object's path, which starts with a slash.
        :param on_done: called with ``Success`` of the object's bytes or None (no such object), or
            ``Failure`` of a :class:`~camphorshelf_core.table.ReadFailure`.
        :return: None.
        """
        request = Request("GET", path.encode(), ((b"host", b"objects"),), b"")

        def done(result):
            if isinstance(result, RequestFailure):
                on_done(Failure(ReadFailure(result.reason)))
            elif result.status in (200, 404):
                on_done(Success(result.body if result.status == 200 else None))
            else:
                on_done(
                    Failure(ReadFailure(f"the object store answered with status {result.status}"))
                )

        self._send(self._objects, request, done)

    def _make_client(self, address):
        return HttpClient(
            self._loop,
            split_address(address),
            _MAX_CONNECTIONS,
            _MAX_RESPONSE_BYTES,
            self._memory,
            "platform",
        )

    def _write(self, operation, body, on_done, background=False):
        def done(result):
            on_done(read_write_results(result, 1)[0])

        self._call_table(operation, body, done, background)

    def _call_table(self, operation, body, on_done, background=False):
        headers = (
            (b"host", b"table"),
            (b"content-type", b"application/x-amz-json-1.0"),
            (b"x-amz-target", f"{_TABLE_API_VERSION}.{operation}".encode()),
        )
        request = Request("POST", b"/", headers, json.dumps(body).encode())
        self._send(self._table, request, on_done, background)

    def _send(self, client, request, on_done, background=False):
        reason = self._admit_request(background)
        if reason is not None:
            self._loop.call_later(0, lambda: on_done(RequestFailure(reason, sent=False)))
            return

        def done(result):
            timer.cancel()
            self._record_response(result)
            on_done(result)

        def on_timeout():
            sent = cancel()
            done(RequestFailure(f"no response within {self._timeout_s:g} s", sent))

        timer = self._loop.call_later(self._timeout_s, on_timeout)
        cancel = client.send(request, done)

    def _admit_request(self, background):
        """Charge a request to the budget, or return the reason why it must not be sent."""
        now = self._loop.now()
        reserve = (
            self._settings.requests_per_second * _BACKGROUND_RESERVE_SHARE if background else 0
        )
        if self._budget.available(now) < 1 + reserve:
            return "this node's budget of requests to the platform is spent"
        if not self._circuit.allows(now):
            return "the platform does not answer and is left alone for a moment"
        self._budget.spend(1, now)
        return None

    def _record_response(self, result):
        now = self._loop.now()
        if isinstance(result, RequestFailure) or result.status >= 500:
            self._circuit.record_failure(now)
            return
        self._circuit.record_success()
        date = header(result.headers, b"date")
        if date is not None:
            self._date = date.decode("latin-1"), now


def _query_body(partition, limit, start_after):
    body = {
        "TableName": TABLE,
        "KeyConditionExpression": "pk = :p",
        "ExpressionAttributeValues": {":p": {"S": partition}},
        "ConsistentRead": True,
    }
    if limit is not None:
        body["Limit"] = limit
    if start_after is not None:
        body["ExclusiveStartKey"] = encode_key(partition, start_after)
    return body


def _merge_rows(rows, first_rows):
    return None if first_rows is None else {**first_rows, **rows}
