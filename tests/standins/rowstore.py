"""Simulates the platform's store: rows with versions, transactions, a feed and faults.

``POST /_faults`` sets the faults, replacing all earlier ones:

- ``down``: reject the calls of all clients (true) or of a list of client IP addresses.
- ``how``: how to reject them: ``busy`` (503), ``many`` (429), ``reset`` (close the connection) or
  ``silent`` (no response).
- ``slow_ms``: wait that long before each response.
- ``lose``: apply transactions, but close the connection without a response.
- ``forget``: drop the feed's history up to now.
- ``deaf``: the feed reports no changes.

``POST /_put`` writes a row as an operator does; ``GET /_counts`` counts the calls by path.
"""

import asyncio
import base64
import json
import sys
import time
from collections import Counter
from urllib.parse import parse_qs, urlsplit

from standins.server import Reply, run_server

_POLL_SECONDS = 0.01
_READ_ONLY_TABLES = frozenset({"op", "servers"})
_REJECTIONS = {"busy": Reply(status=503), "many": Reply(status=429), "reset": Reply(hang_up=True)}
_SILENCE_SECONDS = 3600


class RowStore:
    """The rows with their versions, and the faults that are set."""

    def __init__(self):
        self._rows = {}
        self._version = 1
        self._oldest_version = 0
        self._faults = {}
        self._counts = Counter()
        self._handlers = {
            "/api/rows-get": self._get,
            "/api/rows-feed": self._feed,
            "/api/rows-tx": self._run_transaction,
        }

    async def serve(self, request):
        """Handle one request and return its :class:`Reply`."""
        url = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.startswith("/_"):
            return self._control(url.path, request)
        self._counts[url.path] += 1
        await asyncio.sleep(self._faults.get("slow_ms", 0) / 1000)
        if self._is_rejected(request):
            return await self._reject()
        handler = self._handlers.get(url.path)
        if handler is None:
            return Reply(status=404)
        return await handler(query, request)

    def _control(self, path, request):
        if path == "/_faults":
            self._faults = json.loads(request.body)
            if self._faults.get("forget"):
                self._oldest_version = self._version
        elif path == "/_put":
            fields = json.loads(request.body)
            self._write(fields["table"], fields["key"], fields["value"])
        elif path == "/_counts":
            return _json_reply(dict(self._counts))
        return Reply()

    def _is_rejected(self, request):
        down = self._faults.get("down", False)
        return request.peer in down if isinstance(down, list) else down

    async def _reject(self):
        how = self._faults.get("how", "busy")
        if how == "silent":
            await asyncio.sleep(_SILENCE_SECONDS)
        return _REJECTIONS[how]

    async def _get(self, query, _request):
        rows = [
            _row_fields(key, row)
            for key, row in sorted(self._rows.items())
            if key[0] == query["table"] and row[0] is not None
        ]
        return self._reply({"rows": rows, "truncated": False})

    async def _feed(self, query, request):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if after < self._oldest_version:
                return Reply(status=410)
            if self._is_rejected(request):
                return await self._reject()
            rows = [
                _row_fields(key, row)
                for key, row in self._rows.items()
                if key[0] == query["table"] and row[1] > after
            ]
            if self._faults.get("deaf"):
                rows = []
            if rows or time.monotonic() >= end:
                return self._reply({"rows": rows})
            await asyncio.sleep(_POLL_SECONDS)

    async def _run_transaction(self, _query, request):
        body = json.loads(request.body)
        entries = [*body["writes"], *body["delete"]]
        if any(entry["table"] in _READ_ONLY_TABLES for entry in entries):
            return Reply(status=403)
        for wanted in body["precondition"]:
            row = self._rows.get((wanted["table"], wanted["key"]), (None, 0))
            if row[1] != wanted["ver"]:
                return Reply(status=412, body=b'{"rows":[]}')
        for entry in body["writes"]:
            self._write(entry["table"], entry["key"], entry["value"])
        for entry in body["delete"]:
            self._write(entry["table"], entry["key"], None)
        if self._faults.get("lose"):
            return Reply(hang_up=True)
        return self._reply({})

    def _write(self, table, key, value):
        self._version += 1
        self._rows[table, key] = value, self._version

    def _reply(self, fields):
        return _json_reply({**fields, "ver": self._version, "now_s": time.monotonic()})


def _row_fields(key, row):
    value, version = row
    fields = {"table": key[0], "part": "", "key": key[1], "ver": version}
    return {**fields, "deleted": True} if value is None else {**fields, "value": value}


def _json_reply(fields):
    headers = (("content-type", "application/json"),)
    return Reply(headers=headers, body=json.dumps(fields).encode())


def encode_value(document):
    """Encode a document as the value of a row.

    :param document: a value to serialize as JSON, or bytes to store as they are.
    :return: the base64 text.
    """
    data = document if isinstance(document, bytes) else json.dumps(document).encode()
    return base64.b64encode(data).decode()


if __name__ == "__main__":
    run_server(sys.argv[1], RowStore().serve)
