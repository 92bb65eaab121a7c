"""Signed handles with which callers resume a response."""

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

_MAX_HANDLE_LENGTH = 4096


@attrs.frozen
class Handle:
    """Data of the original request that a resume needs."""

    request_id: str
    customer: str
    model: str
    weight_version: str
    seed: int
    body_sha256: str
    engine_address: str  # engine of the last run
    expires_at: float  # Unix seconds


def sign_handle(handle: Handle, keys: t.Sequence[settings.HandleKey]) -> str:
    """Return `<key id>.<payload>.<signature>`, signed with the first key."""
    key = keys[0]
    payload = _encode_base64(
        json.dumps(attrs.astuple(handle), separators=(",", ":")).encode()
    )
    return f"{key.id}.{payload}.{_compute_signature(key, payload)}"


def open_handle(
    text: str,
    customer: str,
    keys: t.Sequence[settings.HandleKey],
    now: t.Optional[float] = None,
) -> Handle:
    """Return the verified handle in `text`; `now` is in Unix seconds.

    Raises `exceptions.UnknownHandle` with the same message for each reason,
    so that callers can't find out whether a handle of another customer
    exists.
    """
    handle = _parse_signed(text, keys)
    if (
        handle is None
        or not hmac.compare_digest(handle.customer.encode(), customer.encode())
        or handle.expires_at <= (time.time() if now is None else now)
    ):
        raise exceptions.UnknownHandle("the resume handle is not known")
    return handle


def _parse_signed(
    text: str, keys: t.Sequence[settings.HandleKey]
) -> t.Optional[Handle]:
    parts = text.rsplit(".", 2)
    if len(text) > _MAX_HANDLE_LENGTH or len(parts) != 3 or not text.isascii():
        return None
    key_id, payload, signature = parts
    key = next((key for key in keys if key.id == key_id), None)
    if key is None or not hmac.compare_digest(
        signature, _compute_signature(key, payload)
    ):
        return None
    try:
        return Handle(*json.loads(_decode_base64(payload)))
    except (binascii.Error, ValueError, TypeError):
        return None


def _compute_signature(key: settings.HandleKey, payload: str) -> str:
    message = f"{key.id}.{payload}".encode()
    return _encode_base64(
        hmac.new(key.secret.encode(), message, hashlib.sha256).digest()
    )


def _encode_base64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode_base64(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
