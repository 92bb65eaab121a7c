"""Header names, record keys and body encoding of the platform's protocols."""

import json
import math
import typing as t

from sesamefold import jsonvalues

# Headers of callers' requests.

REQUEST_ID = "Sesamefold-Request-Id"
# Despite the header's name, the time that is left and not an instant.
TIMEOUT_MS = "Sesamefold-Deadline-Ms"
API_KEY = "Api-Key"
MODEL = "Sesamefold-Model"
# Prompt tokens and maximum output tokens; despite the header's name, not the
# tokens that were used.
TOKEN_COUNTS = "Sesamefold-Token-Usage"
PROMPT_PARTS = "Sesamefold-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
OUTPUT_ESTIMATE = "Sesamefold-Length-Hint"

# Headers that only the entry host sets.

EXPECTED_SERVER = "Sesamefold-Expect-Instance"
CUSTOMER = "Sesamefold-Tenant-Name"
# Scheduling priority at an engine; 0 is the most urgent.
PRIORITY = "Sesamefold-Request-Priority"
CACHE_SALT = "Sesamefold-Cache-Salt"
EXPECTED_WEIGHT_VERSION = "Sesamefold-Expect-Version"
# Stores that hold cached context: "ADDRESS/TOKENS" or "-" for each part of
# the prompt.
CONTEXT_SOURCES = "Sesamefold-Kv-Fetch"
# Stores that context is saved to: an address or "-" for each part.
CONTEXT_TARGETS = "Sesamefold-Kv-Save"
# An instant in milliseconds of the engines' clock.
FETCH_DEADLINE_MS = "Sesamefold-Kv-Until"

# Headers of backend servers' replies.

RESPONSE_SEAL = "Sesamefold-Response-Seal"
NOT_EXECUTED = "Sesamefold-Not-Executed"
# In refusals of a request that names another server.
SERVER_ID = "Sesamefold-Instance-Id"
SERVER_LOAD = "Sesamefold-Server-Load"
WEIGHT_VERSIONS = "Sesamefold-Weight-Versions"
# "1" in each answer of a server that leaves.
LEAVING = "Server-Leaving"

# Headers of calls to stores of cached context.

WAIT_MS = "Wait-Ms"

# Header of all answers of the platform's store. It rises by one when the store
# returns from a copy.
STORE_ERA = "Store-Era"

# Keys of records in the platform's store.

OPERATIONS_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
WEIGHTS_PREFIX = "op/version/"
ROLLOUT_PREFIX = "op/rollout/"
ROLLOUT_STATUS_PREFIX = "status/rollout/"
SERVERS_PREFIX = "servers/"

JSON_CONTENT_TYPE = "application/json"

# Largest number of a record. Larger ones overflow when they are converted or
# multiplied.
MAX_NUMBER = 2**63 - 1


def encode(body: t.Any) -> bytes:
    """Return a body as compact JSON, the platform's encoding."""
    return json.dumps(body, separators=(",", ":")).encode()


def decode(data: bytes) -> t.Any:
    """Return the decoded JSON body; raises `ValueError`."""
    return jsonvalues.decode(data)


def get_field(
    body: t.Mapping[str, t.Any], name: str, expected_type: t.Any
) -> t.Any:
    """Return a field of a body.

    Raises `KeyError` if it is missing and `TypeError` if it has another type;
    a boolean does not count as a number.
    """
    return check_type(body[name], name, expected_type)


def check_type(value: t.Any, name: str, expected_type: t.Any) -> t.Any:
    """Return a value; raises `TypeError` as `get_field` does."""
    is_boolean = isinstance(value, bool) and expected_type is not bool
    if not isinstance(value, expected_type) or is_boolean:
        raise TypeError(f"{name} has the wrong type {type(value).__name__}")
    return value


def get_count(body: t.Mapping[str, t.Any], name: str) -> int:
    """Return a field that is a whole number from 0 to `MAX_NUMBER`.

    Raises `KeyError`, `TypeError` or `ValueError`.
    """
    return check_count(body[name], name)


def check_count(value: t.Any, name: str) -> int:
    """Return a value that is a whole number from 0 to `MAX_NUMBER`.

    Raises `TypeError` or `ValueError`.
    """
    count: int = check_type(value, name, int)
    if not 0 <= count <= MAX_NUMBER:
        raise ValueError(f"{name} is out of range")
    return count


def get_number(body: t.Mapping[str, t.Any], name: str) -> float:
    """Return a field that is a finite number, at most `MAX_NUMBER` in size.

    Raises `KeyError`, `TypeError` or `ValueError`.
    """
    number = get_field(body, name, (int, float))
    if not -MAX_NUMBER <= number <= MAX_NUMBER or not math.isfinite(number):
        raise ValueError(f"{name} is out of range")
    return float(number)
