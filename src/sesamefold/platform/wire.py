"""Names on the platform's wire, and the codec of its bodies."""

import json
import typing as t

# Headers of callers' requests.
REQUEST_ID = "Sesamefold-Request-Id"
DEADLINE = "Sesamefold-Deadline-Ms"
API_KEY = "Api-Key"
MODEL = "Sesamefold-Model"
# Prompt tokens and the most output tokens, not what was used.
TOKENS = "Sesamefold-Token-Usage"
PROMPT_PARTS = "Sesamefold-Prompt-Prefix"
LAST_EVENT = "Last-Event-Id"
OUTPUT_ESTIMATE = "Sesamefold-Length-Hint"

# Headers that only the entry host sets.
EXPECTED_SERVER = "Sesamefold-Expect-Instance"
CUSTOMER = "Sesamefold-Tenant-Name"
# The urgency at an engine; 0 is first.
PRIORITY = "Sesamefold-Request-Priority"
CACHE_SALT = "Sesamefold-Cache-Salt"
EXPECTED_WEIGHTS = "Sesamefold-Expect-Version"
# One address for each part of the prompt, "-" for none.
FETCH_FROM = "Sesamefold-Kv-Fetch"
SAVE_TO = "Sesamefold-Kv-Save"
# On the engines' clock, in ms.
FETCH_UNTIL = "Sesamefold-Kv-Until"

# Headers of servers' replies.
SEAL = "Sesamefold-Response-Seal"
NOT_EXECUTED = "Sesamefold-Not-Executed"
SERVER_LOAD = "Sesamefold-Server-Load"
WEIGHTS = "Sesamefold-Weight-Versions"

# Headers of calls to stores of cached context.
WAIT = "Wait-Ms"

# Keys in the store.
OPERATIONS_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
WEIGHTS_PREFIX = "op/version/"
SERVERS_PREFIX = "servers/"

CONTENT_TYPE = "application/json"


def encode(body: t.Any) -> bytes:
    """Return a body as the platform encodes it."""
    return json.dumps(body, separators=(",", ":")).encode()


def decode(data: bytes) -> t.Any:
    """Return the value of a body; raises `ValueError`."""
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("the body is nested too deep") from error
