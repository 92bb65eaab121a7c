"""Parsing of completion request bodies in the OpenAI format."""

import json
import typing as t

import attrs

from sesamefold import blocks
from sesamefold import defaults
from sesamefold import exceptions

_DEFAULT_MAX_TOKENS = 256
_MAX_SEED = 2**63 - 1
# Fields that are rejected because they are not implemented. A response that
# ignored them would not be what the caller asked for.
_UNSUPPORTED_FIELDS = (
    "best_of",
    "echo",
    "functions",
    "logprobs",
    "stop",
    "suffix",
    "tools",
)


@attrs.frozen
class Prompt:
    """The parameters of a completion request."""

    model_or_service: str
    text: str
    tokens: t.Tuple[str, ...]
    max_tokens: int
    stream: bool
    chat: bool
    seed: t.Optional[int] = None


def parse_prompt(body: bytes, chat: bool) -> Prompt:
    """Return the parameters in the JSON `body` of a request.

    `chat` selects the format of chat completions. Raises
    `exceptions.MalformedRequest` and `exceptions.RequestTooLarge`.
    """
    raw = _parse_json_object(body)
    _check_unsupported_fields(raw)
    text = _render_messages(raw) if chat else _get_prompt(raw)
    tokens = tuple(blocks.split_tokens(text))
    if len(tokens) > defaults.MAX_PROMPT_TOKENS:
        raise exceptions.RequestTooLarge(
            f"the prompt has {len(tokens)} tokens, the limit is"
            f" {defaults.MAX_PROMPT_TOKENS}"
        )
    return Prompt(
        model_or_service=_get_model_or_service(raw),
        text=text,
        tokens=tokens,
        max_tokens=_get_max_tokens(raw),
        stream=_get_boolean(raw, "stream"),
        chat=chat,
        seed=_get_integer(raw, "seed", -_MAX_SEED, _MAX_SEED),
    )


def _parse_json_object(body: bytes) -> t.Dict[str, t.Any]:
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError):
        raise exceptions.MalformedRequest("the body is not JSON") from None
    if not isinstance(raw, dict):
        raise exceptions.MalformedRequest("the body is not a JSON object")
    return raw


def _check_unsupported_fields(raw: t.Mapping[str, t.Any]) -> None:
    for field in _UNSUPPORTED_FIELDS:
        if raw.get(field):
            raise exceptions.MalformedRequest(f"{field!r} is not supported")
    if raw.get("n") not in (None, 1):
        raise exceptions.MalformedRequest("'n' must be 1")


def _get_model_or_service(raw: t.Mapping[str, t.Any]) -> str:
    name = raw.get("model")
    if not isinstance(name, str) or not name:
        raise exceptions.MalformedRequest("'model' must be a string")
    return name


def _get_prompt(raw: t.Mapping[str, t.Any]) -> str:
    prompt = raw.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt.strip():
        raise exceptions.MalformedRequest("'prompt' must be a string")
    return _check_text(prompt)


def _render_messages(raw: t.Mapping[str, t.Any]) -> str:
    messages = raw.get("messages")
    if not isinstance(messages, list) or not messages:
        raise exceptions.MalformedRequest("'messages' must be a list")
    lines = [_render_message(message) for message in messages]
    return "\n".join(lines + ["assistant:"])


def _render_message(message: t.Any) -> str:
    if not isinstance(message, dict):
        raise exceptions.MalformedRequest("a message must be an object")
    role, content = message.get("role"), message.get("content")
    if isinstance(content, list):
        content = "".join(_get_part_text(part) for part in content)
    if not isinstance(role, str) or not isinstance(content, str):
        raise exceptions.MalformedRequest(
            "a message needs 'role' and 'content'"
        )
    return _check_text(f"{role}: {content}")


def _get_part_text(part: t.Any) -> str:
    text = part.get("text") if isinstance(part, dict) else None
    if not isinstance(text, str):
        raise exceptions.MalformedRequest("only text parts are supported")
    return text


def _check_text(text: str) -> str:
    # JSON can contain lone surrogates, which UTF-8 cannot encode.
    try:
        text.encode()
    except UnicodeEncodeError:
        raise exceptions.MalformedRequest(
            "the text is not valid Unicode"
        ) from None
    return text


def _get_max_tokens(raw: t.Mapping[str, t.Any]) -> int:
    field = (
        "max_completion_tokens"
        if raw.get("max_completion_tokens") is not None
        else "max_tokens"
    )
    value = _get_integer(raw, field, 1, defaults.MAX_PROMPT_TOKENS)
    return _DEFAULT_MAX_TOKENS if value is None else value


def _get_integer(
    raw: t.Mapping[str, t.Any], field: str, low: int, high: int
) -> t.Optional[int]:
    value = raw.get(field)
    if value is None:
        return None
    if (
        isinstance(value, bool)
        or not isinstance(value, int)
        or not low <= value <= high
    ):
        raise exceptions.MalformedRequest(
            f"{field!r} must be an integer from {low} to {high}"
        )
    return value


def _get_boolean(raw: t.Mapping[str, t.Any], field: str) -> bool:
    value = raw.get(field)
    if value is not None and not isinstance(value, bool):
        raise exceptions.MalformedRequest(f"{field!r} must be a boolean")
    return bool(value)
