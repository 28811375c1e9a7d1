"""Simulates the platform: a transactional table service and an object store.

The table implements the part of the published DynamoDB JSON protocol that nodes use; objects are
read with GET and written with PUT. ``POST /_faults`` with a JSON object sets faults:

- ``refuse``: answer all requests with 503.
- ``delay_ms``: wait that long before each response.
- ``lose_answers``: apply that many writes, then close the connection.
- ``late_writes``: close the connection of that many writes and apply them ``apply_late_ms`` later.
- ``lose_reads``: close the connection of that many reads.
- ``hold_writes``: hold that many writes before they are applied, until ``POST /_release``.
- ``hold_answers``: apply that many writes and hold their responses until ``POST /_release``.

``only`` limits the last five to operations whose body contains that text. ``/_counts`` returns how
many operations there were and how many are held.
"""

import asyncio
import json
import sys
import time
from email.utils import formatdate
from urllib.parse import unquote

from standins.server import Reply, run_server

_WRITES = frozenset({"PutItem", "DeleteItem", "TransactWriteItems"})


class ConditionFailedError(Exception):
    """The condition of a write does not hold."""


class Table:
    """Rows by partition key and sort key, with conditional and transactional writes."""

    def __init__(self):
        self._rows = {}
        self.reads = 0
        self.rows_read = 0
        self.writes = 0

    def run(self, operation, body):
        """Execute one operation of the protocol and return its JSON document.

        :raises ConditionFailedError: when a condition of a write does not hold.
        """
        if operation in _WRITES:
            self.writes += 1
        else:
            self.reads += 1
        return getattr(self, f"_{operation}")(body)

    def _PutItem(self, body):  # noqa: N802
        self._check(body, body["Item"])
        self._rows[_key(body["Item"])] = body["Item"]
        return {}

    def _DeleteItem(self, body):  # noqa: N802
        self._check(body, body["Key"])
        self._rows.pop(_key(body["Key"]), None)
        return {}

    def _GetItem(self, body):  # noqa: N802
        item = self._find_row(_key(body["Key"]))
        return {} if item is None else {"Item": item}

    def _Query(self, body):  # noqa: N802
        partition = body["ExpressionAttributeValues"][":p"]["S"]
        after = body.get("ExclusiveStartKey", {"sk": {"S": ""}})["sk"]["S"]
        keys = sorted(key for key in self._rows if key[0] == partition and key[1] > after)
        found = [self._rows[key] for key in keys[: body.get("Limit")]]
        self.rows_read += len(found)
        return {"Items": found, "Count": len(found)}

    def _TransactWriteItems(self, body):  # noqa: N802
        reasons = []
        for entry in body["TransactItems"]:
            ((kind, action),) = entry.items()
            key_item = action.get("Item") or action["Key"]
            is_met = self._condition_holds(action, key_item)
            reasons.append({"Code": "None"} if is_met else self._describe_failure(action, key_item))
        if any(reason["Code"] != "None" for reason in reasons):
            raise ConditionFailedError(reasons)
        for entry in body["TransactItems"]:
            ((kind, action),) = entry.items()
            if kind == "Put":
                self._rows[_key(action["Item"])] = action["Item"]
            elif kind == "Delete":
                self._rows.pop(_key(action["Key"]), None)
        return {}

    def _check(self, action, key_item):
        if not self._condition_holds(action, key_item):
            raise ConditionFailedError(self._describe_failure(action, key_item))

    def _describe_failure(self, action, key_item):
        failure = {"Code": "ConditionalCheckFailed"}
        row = self._find_row(_key(key_item))
        if row is not None and action.get("ReturnValuesOnConditionCheckFailure") == "ALL_OLD":
            failure["Item"] = row
        return failure

    def _find_row(self, key):
        row = self._rows.get(key)
        if row is not None and "ttl" in row and float(row["ttl"]["N"]) < time.time():
            del self._rows[key]
            return None
        return row

    def _condition_holds(self, action, key_item):
        row = self._find_row(_key(key_item))
        for term in filter(None, action.get("ConditionExpression", "").split(" AND ")):
            if not _term_holds(term.strip(), row, action):
                return False
        return True


def _term_holds(term, row, action):
    if term == "attribute_not_exists(pk)":
        return row is None
    if term == "attribute_exists(pk)":
        return row is not None
    name, value = (part.strip() for part in term.split("="))
    name = action.get("ExpressionAttributeNames", {}).get(name, name)
    return row is not None and row.get(name) == action["ExpressionAttributeValues"][value]


def _key(item):
    return item["pk"]["S"], item["sk"]["S"]


class Platform:
    """Both services and the faults that are set."""

    def __init__(self):
        self._table = Table()
        self._objects = {}
        self._faults = {}
        self._held_operations = []

    async def serve(self, request):
        """Answer one request."""
        # A write is applied even if the node has closed the connection meanwhile.
        reply = await asyncio.shield(self._serve(request))
        return reply._replace(headers=(*reply.headers, ("date", formatdate(usegmt=True))))

    async def _serve(self, request):
        if request.path == "/_release":
            held, self._held_operations = self._held_operations, []
            for one in held:
                one.set()
            return Reply()
        if request.path == "/_faults":
            self._faults = json.loads(request.body)
            return Reply()
        if request.path == "/_counts":
            table = self._table
            counts = {"reads": table.reads, "rows": table.rows_read, "writes": table.writes}
            counts["held"] = len(self._held_operations)
            return Reply(body=json.dumps(counts).encode())
        if self._faults.get("refuse"):
            return Reply(status=503)
        if self._faults.get("delay_ms"):
            await asyncio.sleep(self._faults["delay_ms"] / 1000)
        target = request.headers.get("x-amz-target")
        if target is None:
            return self._serve_object(request)
        return await self._serve_table(target.partition(".")[2], json.loads(request.body))

    def _serve_object(self, request):
        key = unquote(request.path)
        if request.method == "PUT":
            self._objects[key] = request.body
            return Reply()
        if key in self._objects:
            return Reply(body=self._objects[key])
        return Reply(status=404)

    async def _serve_table(self, operation, body):
        if operation not in _WRITES:
            return (
                Reply(hang_up=True)
                if self._consume_fault("lose_reads", body)
                else self._apply(operation, body)
            )
        if self._consume_fault("late_writes", body):
            late = self._faults["apply_late_ms"] / 1000
            asyncio.get_running_loop().call_later(late, self._apply, operation, body)
            return Reply(hang_up=True)
        if self._consume_fault("hold_writes", body):
            await self._hold()
        reply = self._apply(operation, body)
        if self._consume_fault("hold_answers", body):
            await self._hold()
        if self._consume_fault("lose_answers", body):
            return Reply(hang_up=True)
        return reply

    async def _hold(self):
        released = asyncio.Event()
        self._held_operations.append(released)
        await released.wait()

    def _consume_fault(self, fault, body):
        left = self._faults.get(fault, 0)
        if not left or self._faults.get("only", "") not in json.dumps(body):
            return False
        self._faults[fault] = left - 1
        return True

    def _apply(self, operation, body):
        try:
            document = self._table.run(operation, body)
        except ConditionFailedError as error:
            return _condition_failed(error.args[0])
        return Reply(body=json.dumps(document).encode())


def _condition_failed(reasons):
    if isinstance(reasons, dict):
        document = {"__type": "com.amazonaws.dynamodb.v20120810#ConditionalCheckFailedException"}
        if "Item" in reasons:
            document["Item"] = reasons["Item"]
    else:
        document = {
            "__type": "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
            "CancellationReasons": reasons,
        }
    return Reply(status=400, body=json.dumps(document).encode())


if __name__ == "__main__":
    run_server(sys.argv[1], Platform().serve)
