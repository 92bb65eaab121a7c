"""Checks of single values of a YAML document."""

import re
import typing as t
import urllib.parse

from sesamefold import addresses
from sesamefold import documents


def matches(pattern: str, text: str) -> bool:
    """Return whether a pattern matches the whole of a text."""
    return re.fullmatch(pattern, text) is not None


def check_text(
    pattern: str, meaning: str, secret: bool = False
) -> documents.Check:
    """Return a check for text that matches `pattern` as a whole.

    A `secret` value never appears in a message.
    """
    compiled = re.compile(pattern)

    def check(
        reader: documents.Reader, node: documents.Node, path: str
    ) -> t.Any:
        if not reader.expect(node, path, "text"):
            return None
        if compiled.fullmatch(node.value):
            return node.value
        shown = "" if secret else f"{documents.show(node.value)} is "
        reader.report(
            node, path, documents.Kind.BAD_VALUE, f"{shown}not {meaning}"
        )
        return None

    return check


def check_choice(*choices: str) -> documents.Check:
    """Return a check for one of several words."""
    return check_text(
        "|".join(map(re.escape, choices)), "one of " + ", ".join(choices)
    )


def check_boolean(
    reader: documents.Reader, node: documents.Node, path: str
) -> t.Any:
    """documents.Check for `true` or `false`."""
    return node.value if reader.expect(node, path, "boolean") else None


def _check_range(
    low: float, high: float, kinds: t.Sequence[str]
) -> documents.Check:
    def check(
        reader: documents.Reader, node: documents.Node, path: str
    ) -> t.Any:
        if not reader.expect(node, path, *kinds):
            return None
        if low <= node.value <= high:
            return node.value
        reader.report(
            node,
            path,
            documents.Kind.OUT_OF_RANGE,
            f"{documents.show(node.raw)} is not between {low} and {high}",
        )
        return None

    return check


def check_integer(low: int, high: int) -> documents.Check:
    """Return a check for an integer from `low` to `high`."""
    return _check_range(low, high, ["integer"])


def check_number(low: float, high: float) -> documents.Check:
    """Return a check for a number from `low` to `high`."""
    check = _check_range(low, high, ["number", "integer"])

    def convert(
        reader: documents.Reader, node: documents.Node, path: str
    ) -> t.Any:
        value = check(reader, node, path)
        return None if value is None else float(value)

    return convert


def check_address(lowest_port: int = 1) -> documents.Check:
    """Return a check for ip:port; port 0 lets the kernel choose."""

    def check(
        reader: documents.Reader, node: documents.Node, path: str
    ) -> t.Any:
        if not reader.expect(node, path, "text"):
            return None
        if addresses.is_address(node.value, lowest_port):
            return node.value
        reader.report(
            node,
            path,
            documents.Kind.BAD_ADDRESS,
            f"{documents.show(node.value)} is not ip:port with a port between "
            f"{lowest_port} and {addresses.MAX_PORT}",
        )
        return None

    return check


def is_url(text: str) -> bool:
    """Return whether a text is an http or https URL with a host."""
    try:
        parts = urllib.parse.urlsplit(text)
        return (
            parts.scheme in ("http", "https")
            and bool(parts.hostname)
            and parts.port != 0
            and not (parts.query or parts.fragment or parts.username)
            and not re.search(r"\s", text)
        )
    except ValueError:
        return False


def check_url(
    reader: documents.Reader, node: documents.Node, path: str
) -> t.Any:
    """documents.Check for an http or https URL."""
    if not reader.expect(node, path, "text"):
        return None
    if is_url(node.value):
        return node.value
    # The value may contain a password, so it is not shown.
    reader.report(
        node, path, documents.Kind.BAD_ADDRESS, "not an http or https URL"
    )
    return None


def check_items(check: documents.Check, limit: int) -> documents.Check:
    """Return a check for a list of at most `limit` different items."""

    def check_all(
        reader: documents.Reader, node: documents.Node, path: str
    ) -> t.Any:
        items = reader.read_items(node, path)
        if len(items) > limit:
            reader.report(
                node,
                path,
                documents.Kind.OUT_OF_RANGE,
                f"{len(items)} items, at most {limit} are allowed",
            )
            return None
        values: t.Dict[t.Any, None] = {}
        for index, item in enumerate(items):
            below = f"{path}[{index}]"
            value = check(reader, item, below)
            if value in values:
                reader.report(
                    item,
                    below,
                    documents.Kind.DUPLICATE_KEY,
                    "the item is in the list already",
                )
            elif value is not None:
                values[value] = None
        return tuple(values) if node.kind == "sequence" else None

    return check_all
