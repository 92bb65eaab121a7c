"""Authenticated handles that let a caller resume a response."""

import base64
import binascii
import hashlib
import hmac
import json
import time
import typing as t

import attrs

from sesamefold import exceptions
from sesamefold import settings

_MAX_LENGTH = 4096


@attrs.frozen
class Handle:
    """What a resume needs to know about the original request."""

    request_id: str
    customer: str
    model: str
    weight_version: str
    seed: int
    body_sha256: str
    engine_address: str  # of the engine that ran the request last
    expires_at: float  # Unix seconds


def sign_handle(handle: Handle, keys: t.Sequence[settings.HandleKey]) -> str:
    """Return `<key id>.<payload>.<signature>`, signed with the first key."""
    key = keys[0]
    payload = _encode(
        json.dumps(attrs.astuple(handle), separators=(",", ":")).encode()
    )
    return f"{key.id}.{payload}.{_sign(key, payload)}"


def open_handle(
    text: str,
    customer: str,
    keys: t.Sequence[settings.HandleKey],
    now: t.Optional[float] = None,
) -> Handle:
    """Return the handle in `text`.

    Raises `exceptions.UnknownHandle`, with one message for all reasons, so
    that nobody learns whether a handle of another customer exists.
    """
    handle = _verify(text, keys)
    if (
        handle is None
        or not hmac.compare_digest(handle.customer.encode(), customer.encode())
        or handle.expires_at <= (time.time() if now is None else now)
    ):
        raise exceptions.UnknownHandle("the resume handle is not known")
    return handle


def _verify(
    text: str, keys: t.Sequence[settings.HandleKey]
) -> t.Optional[Handle]:
    parts = text.rsplit(".", 2)
    if len(text) > _MAX_LENGTH or len(parts) != 3 or not text.isascii():
        return None
    key_id, payload, signature = parts
    key = next((key for key in keys if key.id == key_id), None)
    if key is None or not hmac.compare_digest(signature, _sign(key, payload)):
        return None
    try:
        return Handle(*json.loads(_decode(payload)))
    except (binascii.Error, ValueError, TypeError):
        return None


def _sign(key: settings.HandleKey, payload: str) -> str:
    message = f"{key.id}.{payload}".encode()
    return _encode(
        hmac.new(key.secret.encode(), message, hashlib.sha256).digest()
    )


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
