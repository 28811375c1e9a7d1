"""Random values and bytes as another writer may leave them, for parsers to read."""

import json
import random

import cbor2

_DEPTH = 200_000
_NUMBERS = (0, 1, -1, 0.5, 10**400, -(10**400), 2**63, 1e308, float("inf"), float("nan"), True)
_TEXTS = ("", "a", "ready", "counter", "1.2.3.4:80", "1.2.3.4:99999", "x\0y:1", "²:²", "\r\n")
_MAX_DEPTH = 3
_MAX_ITEMS = 4


def nest(opening, closing=b""):
    """Return bytes that open very many arrays, one in the other."""
    return opening * _DEPTH + closing * _DEPTH


def choose_value(rng, names, depth=0):
    """Make a random value.

    :param rng: the source of random numbers.
    :param names: names that the keys of dictionaries are mostly chosen from.
    :param depth: how deep the value lies in another one.
    :return: a number, a text, bytes, None, a list or a dictionary.
    """
    kind = rng.randrange(8 if depth < _MAX_DEPTH else 4)
    if kind <= 1:
        return rng.choice(_NUMBERS)
    if kind == 2:
        return rng.choice((*_TEXTS, "9" * 5000))
    if kind == 3:
        return rng.choice((None, b"\xff\xfe", "\ud800", ""))
    count = rng.randrange(_MAX_ITEMS)
    if kind <= 5:
        return [choose_value(rng, names, depth + 1) for _ in range(count)]
    return {rng.choice(names): choose_value(rng, names, depth + 1) for _ in range(count)}


def corrupt(rng, value, names):
    """Replace one part of a valid value, at any depth, by a random one."""
    if isinstance(value, dict) and value and rng.random() < 0.9:
        key = rng.choice(list(value))
        return {**value, key: corrupt(rng, value[key], names)}
    if isinstance(value, list | tuple) and value and rng.random() < 0.9:
        index = rng.randrange(len(value))
        return [*value[:index], corrupt(rng, value[index], names), *value[index + 1 :]]
    return choose_value(rng, names)


def render_json(rng, value):
    """Render a value as JSON, sometimes cut or with a byte changed."""
    return _damage(rng, json.dumps(value, default=str).encode())


def render_cbor(rng, value):
    """Render a value as CBOR, sometimes cut or with a byte changed."""
    try:
        return _damage(rng, cbor2.dumps(value))
    except UnicodeEncodeError:
        # CBOR can't hold a half of a surrogate pair.
        return b"\x61\xff"


def _damage(rng, data):
    choice = rng.random()
    if choice < 0.1:
        return data[: rng.randrange(len(data) + 1)]
    if choice < 0.25 and data:
        index = rng.randrange(len(data))
        return data[:index] + bytes([rng.randrange(256)]) + data[index + 1 :]
    if choice < 0.26:
        return random.Random(choice).randbytes(rng.randrange(60))
    return data
