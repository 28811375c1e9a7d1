"""Encodes requests to the table service as JSON and decodes its responses."""

import base64
from typing import NamedTuple

from returns.result import Failure, Success

from camphorshelf_core.decoding import MALFORMED_ERRORS, load_json
from camphorshelf_core.errors import ProtocolError
from camphorshelf_core.table import ReadFailure, Row, WriteOutcome, WriteResult

from .httpclient import RequestFailure

TABLE = "camphorshelf"
_CONDITION_FAILED = "ConditionalCheckFailed"
_TRANSACTION_CANCELLED = "TransactionCanceledException"


class Put(NamedTuple):
    """A write of one row.

    ``expected`` is the version to replace, or None if the row must not exist; it is ignored unless
    ``conditional``. ``expires`` is the time from which the table may delete the row, as Unix time
    in seconds by the table's clock.
    """

    partition: str
    key: str
    data: bytes
    version: int
    expected: int | None = None
    conditional: bool = True
    expires: int | None = None


def encode_key(partition, key):
    """Encode a row's key.

    :param partition: the row's partition.
    :param key: the row's key in the partition.
    :return: the document.
    """
    return {"pk": {"S": partition}, "sk": {"S": key}}


def encode_put(put):
    """Encode a write.

    :param put: the :class:`Put`.
    :return: the document.
    """
    item = encode_key(put.partition, put.key)
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


def encode_delete(partition, key, data):
    """Encode the deletion of a row that must still have the same bytes.

    :param partition: the row's partition.
    :param key: the row's key in the partition.
    :param data: the bytes that the row must have.
    :return: the document.
    """
    return {
        "TableName": TABLE,
        "Key": encode_key(partition, key),
        "ConditionExpression": "doc = :doc",
        "ExpressionAttributeValues": {":doc": {"B": base64.b64encode(data).decode()}},
    }


def read_row(item):
    """Decode a row.

    :param item: the row's document, or None.
    :return: the :class:`~camphorshelf_core.table.Row`, or None if there is no document.
    """
    if not item:
        return None
    return Row(base64.b64decode(item["doc"]["B"]), int(item["ver"]["N"]))


def read_answer(result):
    """Decode the response to a read.

    :param result: the response, or the failure of the request.
    :return: ``Success`` of the document, or ``Failure`` of a
        :class:`~camphorshelf_core.table.ReadFailure`.
    """
    if isinstance(result, RequestFailure):
        return Failure(ReadFailure(result.reason))
    if result.status != 200:
        return Failure(ReadFailure(f"the table service answered {result.status}"))
    try:
        return Success(load_json(result.body))
    except ProtocolError as error:
        return Failure(ReadFailure(str(error)))


def read_query(result):
    """Decode the response to a query.

    :param result: the response, or the failure of the request.
    :return: a dict of key to bytes, or None if the query failed.
    """
    answer = read_answer(result)
    if not isinstance(answer, Success):
        return None
    try:
        items = answer.unwrap()["Items"]
        return dict(filter(None, map(_read_item, items)))
    except MALFORMED_ERRORS:
        return None


def _read_item(item):
    # An item that can't be read is left out; the others hold.
    try:
        return item["sk"]["S"], base64.b64decode(item["doc"]["B"])
    except MALFORMED_ERRORS:
        return None


def read_write_results(result, count):
    """Decode the response to a write or to a transaction of writes.

    :param result: the response, or the failure of the request.
    :param count: the number of rows to write.
    :return: a list of :class:`~camphorshelf_core.table.WriteResult`, one for each row.
    """
    if isinstance(result, RequestFailure):
        return _same_for_all(
            WriteOutcome.UNKNOWN if result.sent else WriteOutcome.NOT_APPLIED, count
        )
    if result.status == 200:
        return _same_for_all(WriteOutcome.APPLIED, count)
    if result.status >= 500:
        # After an internal error it is unknown whether the service has applied the write.
        return _same_for_all(WriteOutcome.UNKNOWN, count)
    try:
        return _read_error(load_json(result.body or b"{}"), count)
    except (ProtocolError, *MALFORMED_ERRORS):
        return _same_for_all(WriteOutcome.UNKNOWN, count)


def _read_error(document, count):
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
