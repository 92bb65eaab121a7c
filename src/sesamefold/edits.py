"""Edits of single keys that keep the rest of the operator's text."""

import attrs

from sesamefold import documents
from sesamefold import exceptions
from sesamefold import validation


def _replace_range(text: str, start: int, end: int, new: str) -> str:
    """Return the text with the characters from start to end replaced."""
    return text[:start] + new + text[end:]


def _find_node(
    reader: documents.Reader, node: documents.Node, *names: str
) -> documents.Node:
    """Return the value at a path of keys, which must exist."""
    for name in names:
        node = next(
            value
            for key, _, value in reader.read_pairs(node, "")
            if key == name
        )
    return node


def _set_in_key(text: str, name: str, value: str) -> str:
    """Return the text with the key `in` of a data centre set to a value.

    An existing value is replaced; otherwise the key is inserted first.
    """
    reader = documents.Reader(validation.CODES)
    root = reader.compose(text)
    assert root is not None  # the text was validated
    entry = _find_node(reader, root, "data_centres", name)
    for key, _, node in reader.read_pairs(entry, ""):
        if key == "in":
            return _replace_range(text, node.start, node.end, value)
    if entry.flow:
        # An anchor may stand before the brace.
        start = text.index("{", entry.start) + 1
        return _replace_range(text, start, start, f"in: {value}, ")
    first_key = entry.value[0][0]
    indent = " " * (first_key.column - 1)
    return _replace_range(
        text, first_key.start, first_key.start, f"in: {value}\n{indent}"
    )


def set_in_service(text: str, name: str, in_service: bool) -> str:
    """Return the text with a data centre put into or out of service.

    Only the key `in` changes; comments and layout are preserved. Raises
    `exceptions.InvalidText` when the text is not valid, and
    `exceptions.ConfigurationError` when the data centre does not exist or
    must be edited by hand, for example because an alias shares its entry.
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
    edited_text = _set_in_key(text, name, "true" if in_service else "false")
    try:
        if validation.parse_text(edited_text) == expected:
            return edited_text
    except exceptions.InvalidText:
        pass
    raise exceptions.ConfigurationError(
        f"the key 'in' of data centre {name!r} cannot be changed without "
        "changing other entries; edit the text by hand"
    )
