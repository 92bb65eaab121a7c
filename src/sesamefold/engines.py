"""Model engines as the gateway and the control see them."""

import typing as t

import attrs

from sesamefold import deadline as deadlines


@attrs.frozen
class ImportBlock:
    """A sealed store entry that an engine imports before it runs a prompt."""

    block: str
    store: str  # base URL of the store host
    generation: str
    length: int  # bytes
    sha256: str  # hex, of the stored bytes


@attrs.frozen
class CompletionRequest:
    """One run of a prompt on an engine."""

    request_id: str
    model: str
    weight_version: str
    prompt: str
    max_tokens: int
    cache_salt: str
    seed: int
    deadline: deadlines.Deadline
    priority: int = 0
    offset: int = 0  # tokens that the caller already has
    output: t.Tuple[str, ...] = ()  # these tokens, when they are known
    imports: t.Tuple[ImportBlock, ...] = ()


@attrs.frozen
class TokenEvent:
    """One token, the final event, or the first event of a stream.

    `offset` counts the tokens up to and including this one. The first event
    of a stream has `kind` "started" and tells how the context was obtained,
    in tokens; the last has `kind` "finished".
    """

    kind: str  # "started", "token" or "finished"
    request_id: str
    weight_version: str
    offset: int
    text: str = ""
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    imported_memory_tokens: int = 0
    imported_disk_tokens: int = 0


@attrs.frozen
class Load:
    """A load report; engines send it with a lag."""

    epoch: str  # changes when the engine restarts
    cold: bool
    leaving: bool
    running: int
    queued: int
    limit: int  # requests that the engine bears at once
    versions: t.Tuple[str, ...]  # "model@version"
    role: str
    measured_at: float  # Unix seconds


@attrs.frozen
class CacheEvent:
    """A block that an engine stored or freed."""

    sequence: int
    kind: str  # "stored" or "freed"
    block: str


@attrs.frozen
class Order:
    """Absolute desired state of an engine; repeating it changes nothing."""

    revision: int
    fencing: int
    versions: t.Tuple[str, ...]  # "model@version", to be loaded
    role: str = "serve"


class Engine(t.Protocol):
    """One engine at a fixed address.

    Methods raise `exceptions.BackendRefused` for a refusal that is defined as
    before execution, `exceptions.BackendUnreachable` when no byte was sent,
    and `exceptions.BackendFailed` for everything after that.
    """

    address: str

    def complete(
        self, request: CompletionRequest
    ) -> t.AsyncIterator[TokenEvent]:
        """Run a prompt and yield its events; closing the iterator cancels."""

    def resume(
        self,
        request_id: str,
        offset: int,
        deadline: deadlines.Deadline,
    ) -> t.AsyncIterator[TokenEvent]:
        """Yield the events of a run after `offset`.

        Raises `exceptions.BackendRefused` when the engine has no such run.
        """

    async def cancel(
        self, request_id: str, deadline: deadlines.Deadline
    ) -> None:
        """Cancel a run; unknown runs are ignored."""

    async def fetch_load(self, deadline: deadlines.Deadline) -> Load:
        """Return the latest load report."""

    async def fetch_events(
        self, after: int, deadline: deadlines.Deadline
    ) -> t.List[CacheEvent]:
        """Return cache events after a sequence number; gaps are possible."""

    async def list_blocks(self, deadline: deadlines.Deadline) -> t.List[str]:
        """Return the names of the blocks that the engine holds."""

    async def export_blocks(
        self,
        blocks: t.Sequence[str],
        store: str,
        deadline: deadlines.Deadline,
    ) -> t.List[ImportBlock]:
        """Copy blocks to a store; returns the sealed entries."""

    async def send_order(
        self, order: Order, deadline: deadlines.Deadline
    ) -> None:
        """Send the desired state; raises `exceptions.FencingRefused`."""

    async def fetch_order(self, deadline: deadlines.Deadline) -> Order:
        """Return the order that the engine follows."""
