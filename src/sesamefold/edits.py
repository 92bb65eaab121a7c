"""Edits of the operator's text that keep the rest of it as it is."""

import attrs

from sesamefold import documents
from sesamefold import exceptions
from sesamefold import validation


def _replace(text: str, start: int, end: int, new: str) -> str:
    return text[:start] + new + text[end:]


def _find(
    reader: documents.Reader, node: documents.Node, *names: str
) -> documents.Node:
    for name in names:
        node = next(
            value
            for key, _, value in reader.read_pairs(node, "")
            if key == name
        )
    return node


def _write_in(text: str, name: str, value: str) -> str:
    """Return the text with the key `in` of a data centre set."""
    reader = documents.Reader(validation.CODES)
    root = reader.compose(text)
    assert root is not None  # the text was validated
    entry = _find(reader, root, "data_centres", name)
    for key, _, node in reader.read_pairs(entry, ""):
        if key == "in":
            return _replace(text, node.start, node.end, value)
    if entry.flow:
        # An anchor may precede the bracket.
        start = text.index("{", entry.start) + 1
        return _replace(text, start, start, f"in: {value}, ")
    first = entry.value[0][0]
    indent = " " * (first.column - 1)
    return _replace(text, first.start, first.start, f"in: {value}\n{indent}")


def set_in_service(text: str, name: str, in_service: bool) -> str:
    """Return the text with a data centre put in or taken out.

    Only the value of `in` changes; comments and layout stay. Raises
    `exceptions.InvalidText` when the text is not valid, and
    `exceptions.ConfigurationError` when the data centre does not exist or is
    written in a way (such as with a shared alias) that needs an edit by hand.
    """
    parsed = validation.parse_text(text)
    if name not in parsed.data_centres:
        known = ", ".join(parsed.data_centres)
        raise exceptions.ConfigurationError(
            f"data centre {name!r} does not exist; known: {known}"
        )
    if parsed.is_in_service(name) == in_service:
        return text
    expected = attrs.evolve(
        parsed,
        data_centres={
            **parsed.data_centres,
            name: attrs.evolve(
                parsed.data_centres[name], in_service=in_service
            ),
        },
    )
    changed = _write_in(text, name, "true" if in_service else "false")
    try:
        if validation.parse_text(changed) == expected:
            return changed
    except exceptions.InvalidText:
        pass
    raise exceptions.ConfigurationError(
        f"the key 'in' of data centre {name!r} cannot be changed without "
        "changing other entries; edit the text by hand"
    )
