"""Stand-in of the platform's store: rows with versions, transactions, a feed, and faults.

``POST /_faults`` sets what goes wrong, replacing all earlier faults: ``down`` (True for all, or a
list of callers' IPs that are turned away), ``how`` (``busy``, ``many``, ``reset``, ``silent``),
``slow_ms``, ``lose`` (answers to writes are lost), ``forget`` (the feed's history is gone) and
``deaf`` (the feed hears of nothing).
``POST /_put`` writes a row as the operator does; ``GET /_counts`` counts calls.
"""

import asyncio
import base64
import json
import sys
import time
from collections import Counter
from urllib.parse import parse_qs, urlsplit

from standins.server import Reply, run_server

_TICK_SECONDS = 0.01
_OPERATORS_TABLES = frozenset({"op", "servers"})
_REFUSALS = {"busy": Reply(status=503), "many": Reply(status=429), "reset": Reply(hang_up=True)}
_SILENCE_SECONDS = 3600


class RowStore:
    """The rows, their history and the faults of this moment."""

    def __init__(self):
        self._rows = {}
        self._version = 1
        self._oldest = 0
        self._faults = {}
        self._counts = Counter()
        self._served = {
            "/api/rows-get": self._get,
            "/api/rows-feed": self._feed,
            "/api/rows-tx": self._change,
        }

    async def serve(self, received):
        """Answer one call."""
        url = urlsplit(received.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path.startswith("/_"):
            return self._control(url.path, received)
        self._counts[url.path] += 1
        await asyncio.sleep(self._faults.get("slow_ms", 0) / 1000)
        if self._is_turned_away(received):
            return await self._turn_away()
        handler = self._served.get(url.path)
        if handler is None:
            return Reply(status=404)
        return await handler(query, received)

    def _control(self, path, received):
        if path == "/_faults":
            self._faults = json.loads(received.body)
            if self._faults.get("forget"):
                self._oldest = self._version
        elif path == "/_put":
            fields = json.loads(received.body)
            self._write(fields["table"], fields["key"], fields["value"])
        elif path == "/_counts":
            return _answer(dict(self._counts))
        return Reply()

    def _is_turned_away(self, received):
        down = self._faults.get("down", False)
        return received.peer in down if isinstance(down, list) else down

    async def _turn_away(self):
        how = self._faults.get("how", "busy")
        if how == "silent":
            await asyncio.sleep(_SILENCE_SECONDS)
        return _REFUSALS[how]

    async def _get(self, query, _received):
        rows = [
            _describe(key, row)
            for key, row in sorted(self._rows.items())
            if key[0] == query["table"] and row[0] is not None
        ]
        return self._reply({"rows": rows, "truncated": False})

    async def _feed(self, query, received):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if after < self._oldest:
                return Reply(status=410)
            if self._is_turned_away(received):
                return await self._turn_away()
            rows = [
                _describe(key, row)
                for key, row in self._rows.items()
                if key[0] == query["table"] and row[1] > after
            ]
            if self._faults.get("deaf"):
                rows = []
            if rows or time.monotonic() >= end:
                return self._reply({"rows": rows})
            await asyncio.sleep(_TICK_SECONDS)

    async def _change(self, _query, received):
        body = json.loads(received.body)
        entries = [*body["writes"], *body["delete"]]
        if any(entry["table"] in _OPERATORS_TABLES for entry in entries):
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
        return _answer({**fields, "ver": self._version, "now_s": time.monotonic()})


def _describe(key, row):
    value, version = row
    fields = {"table": key[0], "part": "", "key": key[1], "ver": version}
    return {**fields, "deleted": True} if value is None else {**fields, "value": value}


def _answer(fields):
    headers = (("content-type", "application/json"),)
    return Reply(headers=headers, body=json.dumps(fields).encode())


def encode_value(document):
    """Put a document in the form of a row's value.

    :param document: anything that JSON can say, or bytes as they are.
    :return: the base64 text.
    """
    data = document if isinstance(document, bytes) else json.dumps(document).encode()
    return base64.b64encode(data).decode()


if __name__ == "__main__":
    run_server(sys.argv[1], RowStore().serve)
