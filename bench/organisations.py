"""Measures how long a configuration document with many organisations takes to parse."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from camphorshelf_platform.documents import read_document  # noqa: E402
from standins.relays import make_document  # noqa: E402

_ORGANISATIONS = 5_000
_KEYS_EACH = 4
_ROUNDS = 15
_LOOKUPS = 200_000
_LIMIT_SECONDS = 0.3


def main():
    """Print the seconds of the slowest and the median parse, and the microseconds of a lookup.

    :return: 1 if the median is over the limit, otherwise 0.
    """
    data = _make_data()
    seconds = sorted(_measure(lambda: read_document(data)) for _ in range(_ROUNDS))
    median = seconds[len(seconds) // 2]
    organisations = read_document(data).organisations
    key = f"key-{_ORGANISATIONS - 1}-0".encode()
    lookup = _measure(lambda: [organisations.find(key) for _ in range(_LOOKUPS)]) / _LOOKUPS
    print(f"document_bytes {len(data)}")
    print(f"parse_median_s {median:.3f}")
    print(f"parse_max_s {seconds[-1]:.3f}")
    print(f"lookup_us {lookup * 1e6:.2f}")
    return int(median > _LIMIT_SECONDS)


def _make_data():
    organisations = {
        f"organisation-{number}": {
            "api_keys": [f"key-{number}-{index}" for index in range(_KEYS_EACH)],
            "priority": number % 3,
            "rate_per_s": number % 200,
            "burst": number % 50,
        }
        for number in range(_ORGANISATIONS)
    }
    return json.dumps(make_document(1, None, organisations)).encode()


def _measure(run):
    started = time.perf_counter()
    run()
    return time.perf_counter() - started


if __name__ == "__main__":
    sys.exit(main())
