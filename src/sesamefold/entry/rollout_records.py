"""Records of rollouts in the platform's store, written by the coordinator."""

import enum
import json
import typing as t

import attrs

from sesamefold.entry import changes
from sesamefold.entry import store

PREFIX = f"{store.HOSTS_PREFIX}rollouts/"


class State(enum.Enum):
    """State of a rollout, as the operator reads it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@attrs.frozen
class RolloutRecord:
    """State of the rollout that an order asked for.

    `order` is the revision of the order and `base` the versions that serve
    beside the target. `deadline` is in Unix seconds, for coordinators that
    started after the order. `requests` and `exposed` count the requests to the
    service and to the target until the record was written, and `reason` says
    why a rollout was rolled back.
    """

    order: int
    target: str
    base: t.Tuple[str, ...]
    state: State
    deadline: float
    requests: int = 0
    exposed: int = 0
    reason: str = ""

    def encode(self) -> bytes:
        """Return the value of the record."""
        fields = attrs.asdict(self)
        fields["state"] = self.state.value
        return json.dumps(fields).encode()


def decode(value: bytes) -> RolloutRecord:
    """Return a record; raises `ValueError` for a malformed value."""
    try:
        fields = json.loads(value)
        return RolloutRecord(
            order=int(fields["order"]),
            target=str(fields["target"]),
            base=tuple(map(str, fields["base"])),
            state=State(fields["state"]),
            deadline=float(fields["deadline"]),
            requests=int(fields["requests"]),
            exposed=int(fields["exposed"]),
            reason=str(fields["reason"]),
        )
    except (
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise ValueError(f"{type(error).__name__}: {error}") from error


def make_key(service: str) -> str:
    """Return the key of a service's record."""
    return f"{PREFIX}{service}"


def read_service(record: changes.HostRecordChanged) -> t.Optional[str]:
    """Return the service of a host record, None if it is of another kind."""
    if not record.key.startswith(PREFIX):
        return None
    return record.key.removeprefix(PREFIX)
