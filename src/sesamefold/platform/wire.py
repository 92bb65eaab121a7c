"""Header names, record keys and body encoding of the platform's protocols."""

import json
import typing as t

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
SERVER_LOAD = "Sesamefold-Server-Load"
WEIGHT_VERSIONS = "Sesamefold-Weight-Versions"

# Headers of calls to stores of cached context.

WAIT_MS = "Wait-Ms"

# Keys of records in the platform's store.

OPERATIONS_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
WEIGHTS_PREFIX = "op/version/"
SERVERS_PREFIX = "servers/"

JSON_CONTENT_TYPE = "application/json"


def encode(body: t.Any) -> bytes:
    """Return a body as compact JSON, the platform's encoding."""
    return json.dumps(body, separators=(",", ":")).encode()


def decode(data: bytes) -> t.Any:
    """Return the decoded JSON body; raises `ValueError`."""
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("the JSON body is nested too deeply") from error
