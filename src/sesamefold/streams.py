"""Verification of the events of engines and their encoding for callers."""

import json
import time
import typing as t

import attrs

from sesamefold import engines

# Events of another request or weight version that a stream may contain
# before it is given up.
MAX_MISMATCHED_EVENTS = 3


class EventGap(Exception):
    """Events are missing; the stream must be resumed after `offset`."""

    def __init__(self, offset: int) -> None:
        super().__init__(f"events after offset {offset} are missing")
        self.offset = offset


class StreamMismatch(Exception):
    """Too many events belong to another request or weight version."""


@attrs.define
class Verifier:
    """Filter that accepts each event of a response once and in order.

    `offset` is that of the last accepted token. `on_drop` is called with the
    reason for each event that is dropped.
    """

    request_id: str
    weight_version: str
    offset: int = 0
    on_drop: t.Callable[[str], None] = lambda reason: None
    mismatches: int = 0

    def accept(self, event: engines.TokenEvent) -> bool:
        """Return whether to pass on `event`.

        Raises `EventGap` if events before it are missing and
        `StreamMismatch` after too many events of another request or weight
        version.
        """
        if not self._matches(event):
            self.mismatches += 1
            self.on_drop("mismatch")
            if self.mismatches > MAX_MISMATCHED_EVENTS:
                raise StreamMismatch()
            return False
        if event.kind == "token":
            return self._accept_token(event.offset)
        if event.kind == "finished" and event.offset != self.offset:
            self.on_drop("gap")
            raise EventGap(self.offset)
        return event.kind in ("started", "finished")

    def _matches(self, event: engines.TokenEvent) -> bool:
        return (
            event.request_id == self.request_id
            and event.weight_version == self.weight_version
        )

    def _accept_token(self, offset: int) -> bool:
        if offset <= self.offset:
            self.on_drop("duplicate")
            return False
        if offset > self.offset + 1:
            self.on_drop("gap")
            raise EventGap(self.offset)
        self.offset = offset
        return True


@attrs.define
class Origin:
    """Backend server of a response, and the sources of its context.

    The counts of a continued response are sums over its runs, except for
    `prompt_tokens`.
    """

    data_centre: str
    backend: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    imported_memory_tokens: int = 0
    imported_disk_tokens: int = 0
    recomputed_tokens: int = 0

    def record(self, event: engines.TokenEvent, backend: str) -> None:
        """Record the "started" event of a run on `backend`."""
        self.backend = backend
        self.prompt_tokens = event.prompt_tokens
        self.cached_tokens += event.cached_tokens
        self.imported_memory_tokens += event.imported_memory_tokens
        self.imported_disk_tokens += event.imported_disk_tokens
        self.recomputed_tokens += max(
            0,
            event.prompt_tokens
            - event.cached_tokens
            - event.imported_memory_tokens
            - event.imported_disk_tokens,
        )


@attrs.define
class ResponseFormat:
    """Encoder of a response in the OpenAI format, streamed or whole."""

    request_id: str
    model: str
    chat: bool
    created: int = attrs.field(factory=lambda: int(time.time()))
    _chunk_template: t.Tuple[bytes, bytes] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        # Only the text differs between the token events of a response.
        marker = "\x00"
        line = json.dumps(self._build_chunk(marker), separators=(",", ":"))
        before, _, after = line.partition(json.dumps(marker))
        self._chunk_template = (f"data: {before}".encode(), after.encode())

    def render_token(self, event: engines.TokenEvent) -> bytes:
        """Return the SSE event of one token."""
        before, after = self._chunk_template
        text = json.dumps(event.text).encode()
        return b"id: %d\n%b%b%b\n\n" % (event.offset, before, text, after)

    def render_origin(self, origin: Origin, handle: str) -> bytes:
        """Return an SSE comment with the origin and the handle."""
        line = json.dumps(
            {**attrs.asdict(origin), "handle": handle},
            separators=(",", ":"),
        )
        return f": sesamefold {line}\n\n".encode()

    def render_end(
        self, reason: str, usage: t.Mapping[str, t.Any], offset: int
    ) -> bytes:
        """Return the last SSE events: finish reason, usage, `[DONE]`."""
        chunk = self._build_chunk(None)
        chunk["choices"][0]["finish_reason"] = reason
        chunk["usage"] = usage
        line = json.dumps(chunk, separators=(",", ":"))
        return f"id: {offset}\ndata: {line}\n\ndata: [DONE]\n\n".encode()

    def render_body(
        self, text: str, reason: str, usage: t.Mapping[str, t.Any]
    ) -> t.Dict[str, t.Any]:
        """Return the body of a response that is not streamed."""
        content: t.Dict[str, t.Any] = (
            {"message": {"role": "assistant", "content": text}}
            if self.chat
            else {"text": text}
        )
        return {
            **self._build_envelope(""),
            "choices": [{"index": 0, "finish_reason": reason, **content}],
            "usage": usage,
        }

    def _build_chunk(self, text: t.Optional[str]) -> t.Dict[str, t.Any]:
        content: t.Dict[str, t.Any] = (
            {"delta": {} if text is None else {"content": text}}
            if self.chat
            else {"text": text or ""}
        )
        return {
            **self._build_envelope(".chunk"),
            "choices": [{"index": 0, **content, "finish_reason": None}],
        }

    def _build_envelope(self, suffix: str) -> t.Dict[str, t.Any]:
        kind = f"chat.completion{suffix}" if self.chat else "text_completion"
        return {
            "id": self.request_id,
            "object": kind,
            "created": self.created,
            "model": self.model,
        }
