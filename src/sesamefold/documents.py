"""YAML documents as nodes with positions, and their reading by fields."""

import enum
import re
import typing as t

import attrs
import yaml

# A text of 19,000 customers has about 115,000 nodes.
MAX_NODES = 500_000
MAX_DEPTH = 16
MAX_ALIASES = 1000
# An alias makes one node count several times when the content is read.
MAX_VISITS = 2 * MAX_NODES
MAX_PROBLEMS = 1000

_INTEGER = re.compile(r"[-+]?(0|[1-9][0-9]{0,17})")
_NUMBER = re.compile(r"[-+]?(\.[0-9]+|[0-9]+(\.[0-9]*)?)([eE][-+]?[0-9]+)?")
# The parser compares each %TAG directive with all earlier ones, so that
# hundreds of thousands of them would take minutes.
_DIRECTIVE = re.compile(r"^%", re.MULTILINE)
_CONSTANTS: t.Dict[str, t.Tuple[str, t.Any]] = {
    **dict.fromkeys(("true", "True", "TRUE"), ("boolean", True)),
    **dict.fromkeys(("false", "False", "FALSE"), ("boolean", False)),
    **dict.fromkeys(("", "~", "null", "Null", "NULL"), ("null", None)),
}
_SHOWN_CHARACTERS = 60


class Kind(enum.Enum):
    """Kinds of problems; each user of this module gives them codes."""

    EMPTY = "the text is empty"
    TOO_LARGE = "size, depth, nodes or aliases exceed their bound"
    MALFORMED = "not well-formed YAML"
    UNSUPPORTED = "a YAML feature that is not supported"
    UNKNOWN_KEY = "unknown key"
    DUPLICATE_KEY = "a key or name appears twice"
    WRONG_TYPE = "a value of the wrong type"
    MISSING_KEY = "a required key is missing"
    OUT_OF_RANGE = "a value out of its range"
    BAD_VALUE = "a value of the wrong form"
    BAD_ADDRESS = "an address or URL of the wrong form"
    BAD_NAME = "a name of the wrong form"
    MISSING_REFERENCE = "a reference to something that does not exist"
    CYCLE = "services depend on each other in a cycle"
    TOKEN_REUSED = "two customers have the same token hash"
    ADDRESS_REUSED = "two stores have the same address"
    KIND_MISMATCH = "a key is missing for the kind, or does not belong to it"
    MORE = "further problems are not shown"


@attrs.frozen
class Problem:
    """A problem at a position; lines and columns count from 1.

    `line` is 0 when the problem is not in a file.
    """

    line: int
    column: int
    path: str
    code: int
    message: str

    def __str__(self) -> str:
        """Return one line with position, path, message and code."""
        position = (
            f"line {self.line}, column {self.column}: " if self.line else ""
        )
        path = f"{self.path}: " if self.path else ""
        return f"{position}{path}{self.message} ({self.code})"


@attrs.define(eq=False)
class Node:
    """A node of a document.

    `value` holds (key, value) pairs of a "mapping", the nodes of a
    "sequence", and the value of a "text", "integer", "number", "boolean" or
    "null". `start` and `end` are character offsets; `raw` is a scalar as
    written, without quotes.
    """

    kind: str
    value: t.Any
    line: int
    column: int
    start: int
    end: int
    raw: str = ""
    flow: bool = False


class TooManyProblems(Exception):
    """The reader stopped because a bound was exceeded."""


def show(text: str) -> str:
    """Return `text` quoted and shortened for a message."""
    shown = text[:_SHOWN_CHARACTERS]
    return repr(shown) + ("..." if len(text) > _SHOWN_CHARACTERS else "")


def _resolve(text: str) -> t.Tuple[str, t.Any]:
    """Return kind and value of a plain scalar (YAML 1.2 core schema).

    `yes`, `on` and numbers with a leading zero are text, so that they are
    refused where a boolean or an integer is expected, instead of being read
    differently by different tools.
    """
    if text in _CONSTANTS:
        return _CONSTANTS[text]
    if _INTEGER.fullmatch(text):
        return "integer", int(text)
    # float() has no limit on digits, int() has; a longer integer is a number.
    if _NUMBER.fullmatch(text) and not re.match(r"[-+]?0[0-9]", text):
        return "number", float(text)
    return "text", text


class Reader:
    """Reads nodes and collects the problems found.

    `codes` maps each kind of problem to its numbered code.
    """

    def __init__(self, codes: t.Mapping[Kind, int]) -> None:
        self.problems: t.List[Problem] = []
        self._codes = codes
        self._visits = 0
        self._shift = 0

    def report(
        self,
        node: t.Optional[Node],
        path: str,
        kind: Kind,
        message: str,
    ) -> None:
        """Add a problem; raises `TooManyProblems` when there are too many."""
        line, column = (node.line, node.column) if node else (0, 0)
        self.add(line, column, path, kind, message)

    def add(
        self, line: int, column: int, path: str, kind: Kind, message: str
    ) -> None:
        """Add a problem at a position."""
        if len(self.problems) >= MAX_PROBLEMS and kind is not Kind.MORE:
            self.add(0, 0, "", Kind.MORE, Kind.MORE.value)
            raise TooManyProblems
        self.problems.append(
            Problem(line, column, path[:200], self._codes[kind], message)
        )

    def compose(self, text: str) -> t.Optional[Node]:
        """Return the root node of a text, None after a fatal problem.

        The nodes are built from the parser's events and not by PyYAML's
        composer, because the composer recurses on the C stack and has no
        bound on depth, nodes or aliases.
        """
        directive = _DIRECTIVE.search(text)
        if directive is not None:
            self.add(
                text.count("\n", 0, directive.start()) + 1,
                1,
                "",
                Kind.UNSUPPORTED,
                "directives (lines that start with '%') are not supported",
            )
            return None
        loader = None
        try:
            # libyaml does not count a byte order mark.
            self._shift = int(text.startswith("\ufeff"))
            loader = yaml.CSafeLoader(text)
            return self._compose(loader)
        except yaml.MarkedYAMLError as error:
            mark = error.problem_mark or error.context_mark
            self.add(
                mark.line + 1 if mark else 1,
                mark.column + 1 if mark else 1,
                "",
                Kind.MALFORMED,
                str(error.problem or error.context or "malformed YAML"),
            )
        except (yaml.YAMLError, UnicodeError) as error:
            reason = getattr(error, "reason", "malformed YAML")
            position = getattr(error, "position", getattr(error, "start", 0))
            before = text[: position if isinstance(position, int) else 0]
            self.add(
                before.count("\n") + 1,
                len(before) - before.rfind("\n"),
                "",
                Kind.MALFORMED,
                str(reason),
            )
        finally:
            if loader is not None:
                loader.dispose()
        return None

    def _compose(self, loader: t.Any) -> t.Optional[Node]:
        root: t.Optional[Node] = None
        stack: t.List[Node] = []
        anchors: t.Dict[str, Node] = {}
        nodes = aliases = 0
        while True:
            event = loader.get_event()
            kind = type(event)
            if kind is yaml.StreamEndEvent:
                break
            if kind in (yaml.MappingEndEvent, yaml.SequenceEndEvent):
                node = stack.pop()
                node.end = event.end_mark.index + self._shift
                if kind is yaml.MappingEndEvent:
                    node.value = list(zip(node.value[::2], node.value[1::2]))
                continue
            mark = event.start_mark
            position = (mark.line + 1, mark.column + 1)
            if kind is yaml.DocumentStartEvent and root is not None:
                self.add(
                    *position,
                    "",
                    Kind.UNSUPPORTED,
                    "more than one document",
                )
                return None
            if not isinstance(event, yaml.NodeEvent):
                continue
            nodes += 1
            excess = ""
            if nodes > MAX_NODES:
                excess = f"more than {MAX_NODES} nodes"
            if kind is yaml.AliasEvent:
                aliases += 1
                if aliases > MAX_ALIASES:
                    excess = f"more than {MAX_ALIASES} aliases"
            elif len(stack) >= MAX_DEPTH:
                excess = f"nested deeper than {MAX_DEPTH}"
            if excess:
                self.add(*position, "", Kind.TOO_LARGE, excess)
                return None
            if kind is yaml.AliasEvent:
                found = anchors.get(event.anchor)
                if found is None or found in stack:
                    self.add(
                        *position,
                        "",
                        Kind.MALFORMED,
                        f"alias {show(event.anchor)} has no anchor"
                        + (" that ended before it" if found else ""),
                    )
                    return None
                node = found
            else:
                node = self._build(event, mark, position)
                if event.anchor is not None:
                    anchors[event.anchor] = node
            if stack:
                stack[-1].value.append(node)
            else:
                root = node
            if kind in (yaml.MappingStartEvent, yaml.SequenceStartEvent):
                stack.append(node)
        if root is None or root.kind == "null":
            self.add(1, 1, "", Kind.EMPTY, Kind.EMPTY.value)
            return None
        return root

    def _build(
        self, event: t.Any, mark: t.Any, position: t.Tuple[int, int]
    ) -> Node:
        if event.tag is not None:
            self.add(
                *position,
                "",
                Kind.UNSUPPORTED,
                f"tag {show(event.tag)} is not supported",
            )
        extent = (
            *position,
            mark.index + self._shift,
            event.end_mark.index + self._shift,
        )
        if isinstance(event, yaml.ScalarEvent):
            kind, value = "text", event.value
            if not event.style:  # plain, neither quoted nor a block
                kind, value = _resolve(event.value)
            return Node(kind, value, *extent, raw=event.value)
        kind = (
            "mapping"
            if isinstance(event, yaml.MappingStartEvent)
            else "sequence"
        )
        return Node(kind, [], *extent, flow=bool(event.flow_style))

    def expect(self, node: Node, path: str, *kinds: str) -> bool:
        """Report a node that is of none of `kinds`."""
        if node.kind in kinds:
            return True
        quote = node.kind in ("integer", "number", "boolean")
        self.report(
            node,
            path,
            Kind.WRONG_TYPE,
            f"expected {kinds[0]}, found {node.kind}"
            + ("; quote the value" if kinds[0] == "text" and quote else ""),
        )
        return False

    def read_pairs(
        self, node: Node, path: str
    ) -> t.List[t.Tuple[str, Node, Node]]:
        """Return (name, key node, value node) of a mapping without repeats.

        Keys are taken as written, so a customer may be called `no` or `7`.
        """
        if not self.expect(node, path, "mapping"):
            return []
        self._count(len(node.value))
        first: t.Dict[str, Node] = {}
        pairs = []
        for key, value in node.value:
            if key.kind in ("mapping", "sequence"):
                self.report(
                    key, path, Kind.WRONG_TYPE, f"a key is a {key.kind}"
                )
            elif key.raw in first:
                self.report(
                    key,
                    join(path, key.raw),
                    Kind.DUPLICATE_KEY,
                    f"{show(key.raw)} is also in line "
                    f"{first[key.raw].line}",
                )
            else:
                first[key.raw] = key
                pairs.append((key.raw, key, value))
        return pairs

    def read_items(self, node: Node, path: str) -> t.List[Node]:
        """Return the nodes of a sequence."""
        if not self.expect(node, path, "sequence"):
            return []
        self._count(len(node.value))
        return node.value

    def read_fields(
        self, node: Node, path: str, fields: t.Mapping[str, "Field"]
    ) -> t.Tuple[t.Dict[str, t.Any], t.Dict[str, Node]]:
        """Return the valid values and the nodes of a mapping, by key."""
        values, nodes = {}, {}
        for name, key, value in self.read_pairs(node, path):
            if name not in fields:
                self.report(
                    key,
                    join(path, name),
                    Kind.UNKNOWN_KEY,
                    f"unknown key {show(name)}; known: "
                    + ", ".join(sorted(fields)),
                )
                continue
            nodes[name] = value
            result = fields[name].check(self, value, join(path, name))
            if result is not None:
                values[name] = result
        if node.kind == "mapping":
            for name, field in fields.items():
                if field.required and name not in nodes:
                    self.report(
                        node,
                        path,
                        Kind.MISSING_KEY,
                        f"key {name!r} is required",
                    )
        return values, nodes

    def _count(self, visits: int) -> None:
        self._visits += visits
        if self._visits > MAX_VISITS:
            self.add(
                0,
                0,
                "",
                Kind.TOO_LARGE,
                f"more than {MAX_VISITS} nodes after aliases",
            )
            raise TooManyProblems


# Returns the value, or None after it reported a problem.
Check = t.Callable[[Reader, Node, str], t.Any]


@attrs.frozen
class Field:
    """A key of a mapping."""

    check: Check
    required: bool = False


def join(path: str, name: str) -> str:
    """Return the path of a key below `path`."""
    name = name[:_SHOWN_CHARACTERS]
    return f"{path}.{name}" if path else name
