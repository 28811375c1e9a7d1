"""Asks a node's administration API."""

import http.client
import json
import os
from typing import NamedTuple

from returns.result import Failure, Result, Success

DEFAULT_NODE = "127.0.0.1:8403"
NODE_VARIABLE = "CAMPHORSHELF_NODE"
TOKEN_VARIABLE = "CAMPHORSHELF_TOKEN"
TOKEN_FILE_VARIABLE = "CAMPHORSHELF_TOKEN_FILE"
_TIMEOUT_SECONDS = 20.0


class Response(NamedTuple):
    """What the node answered."""

    status: int
    document: dict


def node_address(node):
    """Tell which node to ask.

    :param node: what the command line said, or None.
    :return: ``IP:PORT``.
    """
    return node or os.environ.get(NODE_VARIABLE, DEFAULT_NODE)


def find_token():
    """Find the operator's token; never on the command line, where others can read it.

    :return: the token, or None.
    """
    path = os.environ.get(TOKEN_FILE_VARIABLE)
    if path is None:
        return os.environ.get(TOKEN_VARIABLE)
    with open(path, encoding="utf-8") as file:
        return file.read().strip()


def send_request(node, method, path, document=None) -> Result[Response, str]:
    """Send one request.

    :param node: ``IP:PORT`` of the node's administration listener.
    :param method: the HTTP method.
    :param path: the request's path.
    :param document: what to send as JSON, or None.
    :return: ``Success`` of the :class:`Answer`, or ``Failure`` of one sentence that says why
        there is none.
    """
    try:
        token = find_token()
    except OSError as error:
        return Failure(f"the token file {error.filename} cannot be read: {error.strerror}")
    headers = {} if token is None else {"Authorization": f"Bearer {token}"}
    body = None if document is None else json.dumps(document)
    try:
        connection = http.client.HTTPConnection(node, timeout=_TIMEOUT_SECONDS)
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return Success(Response(response.status, json.loads(response.read())))
    except ConnectionRefusedError:
        return Failure(f"no node listens for operators at {node}")
    except TimeoutError:
        return Failure(f"the node at {node} did not answer in {_TIMEOUT_SECONDS:g} s")
    except http.client.InvalidURL:
        return Failure(f"{node} is not an address of the form IP:PORT")
    except (OSError, http.client.HTTPException) as error:
        return Failure(f"the connection to {node} failed: {error or type(error).__name__}")
    except ValueError:
        return Failure(f"what answers at {node} is not a node's administration listener")
