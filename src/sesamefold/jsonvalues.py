"""Decoding of JSON that other writers may have filled with odd values."""

import json
import re
import typing as t

# Depth below which the values of a JSON text are dropped.
_MAX_DEPTH = 32
# Digits above which a whole number is dropped.
_MAX_DIGITS = 19
_STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*"|[][{}]', re.DOTALL)


def decode(data: t.Union[bytes, str]) -> t.Any:
    """Return the decoded JSON; raises `ValueError`.

    Unlike `json.loads`, it raises no other error for deep nesting.
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("the JSON is nested too deeply") from error


def decode_readable(data: bytes) -> t.Any:
    """Return the decoded JSON, with None for values that cannot be decoded.

    These are values that are nested too deeply and whole numbers of too many
    digits. Raises `ValueError` if the data is no JSON otherwise.
    """
    try:
        return decode(data)
    except ValueError:
        return json.loads(
            _drop_deep_values(data.decode()), parse_int=_parse_integer
        )


def _drop_deep_values(text: str) -> str:
    """Return a JSON text with null for the values below `_MAX_DEPTH`."""
    kept = []
    depth = start = 0
    for match in _STRING_OR_BRACKET.finditer(text):
        if match[0] in ("[", "{"):
            depth += 1
            if depth == _MAX_DEPTH:
                kept.append(text[start : match.start()])
        elif match[0] in ("]", "}"):
            if depth == _MAX_DEPTH:
                kept.append("null")
                start = match.end()
            depth -= 1
    if depth >= _MAX_DEPTH:
        raise ValueError("the JSON text ends within a value")
    return "".join([*kept, text[start:]])


def _parse_integer(digits: str) -> t.Optional[int]:
    return int(digits) if len(digits) <= _MAX_DIGITS else None
