"""Settings and readers for tests of single parts of a relay node."""

from camphorshelf_core.retrybudget import RetryLimits
from camphorshelf_platform.documents import read_document, read_evacuations
from camphorshelf_relay.configsync import DocumentReaders
from camphorshelf_relay.settings import Addresses, Endpoint, NodeSettings

READERS = DocumentReaders(read_document, read_evacuations)
_ENDPOINT = Endpoint("127.0.0.1", 1)
SETTINGS = NodeSettings(
    "a", "south-a", "counter", Addresses(*[_ENDPOINT] * 8), RetryLimits(0.2, 60, 10), 6.0, 60.0
)
