"""The client of the platform's table service, spoken to by its published JSON protocol."""

import base64
import json

from camphorshelf_core.calls import Request
from camphorshelf_core.settings import split_address

from .httpclient import Failed, HttpClient

TABLE = "camphorshelf"
_MAX_CONNECTIONS = 4
_MAX_ANSWER = 16 * 1024 * 1024
_VERSION = "DynamoDB_20120810"


class Platform:
    """Reads and writes rows; every outcome comes by callback."""

    def __init__(self, loop, settings):
        self._loop = loop
        self._timeout = settings.timeout_ms / 1000
        address = split_address(settings.table)
        self._client = HttpClient(loop, address, _MAX_CONNECTIONS, _MAX_ANSWER)

    def put(self, partition, key, data, on_done):
        """Write a row.

        :param partition: the row's partition.
        :param key: the row's key in it.
        :param data: the row's bytes.
        :param on_done: takes True, or None when the outcome is unknown.
        :return: None.
        """
        item = {**_key(partition, key), "doc": {"B": base64.b64encode(data).decode()}}
        body = {"TableName": TABLE, "Item": item}
        self._ask("PutItem", body, lambda answer: on_done(None if answer is None else True))

    def query(self, partition, on_done, limit=None, start_after=None):
        """Read rows of a partition in the order of their keys.

        :param partition: its name.
        :param on_done: takes a dict of key to bytes, or None when the platform is down.
        :param limit: the most rows to read (None: all).
        :param start_after: read the rows whose key is greater; with too few of them, those
            from the first key on are read as well.
        :return: None.
        """
        body = _query_body(partition, limit, start_after)

        def done(answer):
            if answer is None:
                on_done(None)
                return
            rows = _rows(answer["Items"])
            if start_after is None or len(rows) >= limit:
                on_done(rows)
                return
            self.query(partition, lambda first: on_done(_join(rows, first)), limit - len(rows))

        self._ask("Query", body, done)

    def _ask(self, operation, body, on_done):
        headers = (
            (b"host", b"table"),
            (b"content-type", b"application/x-amz-json-1.0"),
            (b"x-amz-target", f"{_VERSION}.{operation}".encode()),
        )
        request = Request("POST", b"/", headers, json.dumps(body).encode())

        def done(result):
            timer.cancel()
            if isinstance(result, Failed) or result.status != 200:
                on_done(None)
            else:
                on_done(json.loads(result.body))

        def give_up():
            abandon()
            on_done(None)

        timer = self._loop.call_later(self._timeout, give_up)
        abandon = self._client.send(request, done)


def _key(partition, key):
    return {"pk": {"S": partition}, "sk": {"S": key}}


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
        body["ExclusiveStartKey"] = _key(partition, start_after)
    return body


def _join(rows, more):
    return None if more is None else {**more, **rows}


def _rows(items):
    return {item["sk"]["S"]: base64.b64decode(item["doc"]["B"]) for item in items}
