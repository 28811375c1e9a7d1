"""Rows and conditional writes in the table service's published JSON form."""

import base64
import json
from typing import NamedTuple

from returns.result import Failure, Success

from camphorshelf_core.table import ReadFailure, Row, WriteOutcome, WriteResult

from .httpclient import Failed

TABLE = "camphorshelf"
_CONDITION_FAILED = "ConditionalCheckFailed"
_TRANSACTION_CANCELLED = "TransactionCanceledException"


class Put(NamedTuple):
    """A write of one row; ``expected`` is the version to replace, None when there must be none.

    ``expires`` is when the table may drop the row, in seconds since 1970 by its own clock.
    """

    partition: str
    key: str
    data: bytes
    version: int
    expected: int | None = None
    conditional: bool = True
    expires: int | None = None


def describe_key(partition, key):
    """Describe a row's key.

    :param partition: its partition.
    :param key: its key in it.
    :return: the document.
    """
    return {"pk": {"S": partition}, "sk": {"S": key}}


def describe_put(put):
    """Describe a write.

    :param put: a :class:`Put`.
    :return: the document.
    """
    item = describe_key(put.partition, put.key)
    item["doc"] = {"B": base64.b64encode(put.data).decode()}
    item["ver"] = {"N": str(put.version)}
    if put.expires is not None:
        item["ttl"] = {"N": str(put.expires)}
    body = {"TableName": TABLE, "Item": item}
    if not put.conditional:
        return body
    body["ReturnValuesOnConditionCheckFailure"] = "ALL_OLD"
    if put.expected is None:
        body["ConditionExpression"] = "attribute_not_exists(pk)"
    else:
        body["ConditionExpression"] = "ver = :ver"
        body["ExpressionAttributeValues"] = {":ver": {"N": str(put.expected)}}
    return body


def describe_delete(partition, key, data):
    """Describe the deletion of a row that must still have the same bytes.

    :param partition: its partition.
    :param key: its key in it.
    :param data: its bytes.
    :return: the document.
    """
    return {
        "TableName": TABLE,
        "Key": describe_key(partition, key),
        "ConditionExpression": "doc = :doc",
        "ExpressionAttributeValues": {":doc": {"B": base64.b64encode(data).decode()}},
    }


def read_row(item):
    """Read a row.

    :param item: its document, or None.
    :return: the :class:`Row`, or None.
    """
    if not item:
        return None
    return Row(base64.b64decode(item["doc"]["B"]), int(item["ver"]["N"]))


def read_answer(result):
    """Read the answer to a read.

    :param result: the response, or :class:`Failed`.
    :return: ``Success`` of the document, or ``Failure`` of an :class:`Outage`.
    """
    if isinstance(result, Failed):
        return Failure(ReadFailure(result.reason))
    if result.status != 200:
        return Failure(ReadFailure(f"the table service answered {result.status}"))
    return Success(json.loads(result.body))


def read_query(result):
    """Read the answer to a query.

    :param result: the response, or :class:`Failed`.
    :return: a dict of key to bytes, or None when there was no answer.
    """
    answer = read_answer(result)
    if not isinstance(answer, Success):
        return None
    items = answer.unwrap()["Items"]
    return {item["sk"]["S"]: base64.b64decode(item["doc"]["B"]) for item in items}


def read_write_results(result, count):
    """Read how a write or a transaction of writes went.

    :param result: the response, or :class:`Failed`.
    :param count: how many rows it was to write.
    :return: a list of :class:`Written`, one for each row.
    """
    if isinstance(result, Failed):
        return _same_for_all(
            WriteOutcome.UNKNOWN if result.sent else WriteOutcome.NOT_APPLIED, count
        )
    if result.status == 200:
        return _same_for_all(WriteOutcome.APPLIED, count)
    if result.status >= 500:
        # A service that fails inside says nothing of what it had done by then.
        return _same_for_all(WriteOutcome.UNKNOWN, count)
    document = json.loads(result.body or b"{}")
    error_type = document.get("__type", "")
    if error_type.endswith(f"{_CONDITION_FAILED}Exception"):
        return [WriteResult(WriteOutcome.LOST, read_row(document.get("Item")))]
    if error_type.endswith(_TRANSACTION_CANCELLED):
        return [_read_reason(reason) for reason in document["CancellationReasons"]]
    return _same_for_all(WriteOutcome.NOT_APPLIED, count)


def _read_reason(reason):
    if reason["Code"] == _CONDITION_FAILED:
        return WriteResult(WriteOutcome.LOST, read_row(reason.get("Item")))
    return WriteResult(WriteOutcome.NOT_APPLIED)


def _same_for_all(outcome, count):
    return [WriteResult(outcome)] * count
