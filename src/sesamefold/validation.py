"""Validation of the operator's text."""

import typing as t

from sesamefold import checks
from sesamefold import configuration
from sesamefold import defaults
from sesamefold import documents
from sesamefold import exceptions

CODES: t.Dict[documents.Kind, int] = {
    documents.Kind.EMPTY: 1410,
    documents.Kind.TOO_LARGE: 1411,
    documents.Kind.MALFORMED: 1412,
    documents.Kind.UNSUPPORTED: 1413,
    documents.Kind.UNKNOWN_KEY: 1414,
    documents.Kind.DUPLICATE_KEY: 1415,
    documents.Kind.WRONG_TYPE: 1416,
    documents.Kind.MISSING_KEY: 1417,
    documents.Kind.OUT_OF_RANGE: 1418,
    documents.Kind.BAD_VALUE: 1419,
    documents.Kind.BAD_ADDRESS: 1420,
    documents.Kind.BAD_NAME: 1421,
    documents.Kind.MISSING_REFERENCE: 1422,
    documents.Kind.CYCLE: 1423,
    documents.Kind.TOKEN_REUSED: 1424,
    documents.Kind.ADDRESS_REUSED: 1425,
    documents.Kind.KIND_MISMATCH: 1426,
    documents.Kind.MORE: 1439,
}

_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}"
_MEANING = (
    "a name of at most 64 letters, digits, '.', '_' and '-' that starts with "
    "a letter or digit"
)
_check_name = checks.check_text(_PATTERN, _MEANING)
_field = documents.Field

FIELDS: t.Dict[str, t.Dict[str, documents.Field]] = {
    "data_centres": {
        "region": _field(_check_name, required=True),
        "in": _field(checks.check_boolean),
    },
    "models": {
        "version": _field(
            checks.check_text(
                r"[A-Za-z0-9][A-Za-z0-9._+-]{0,63}",
                "a version of at most 64 letters, digits, '.', '_', '+' and "
                "'-'",
            ),
            required=True,
        ),
        "block_tokens": _field(
            checks.check_integer(1, defaults.MAX_PROMPT_TOKENS)
        ),
    },
    "groups": {
        "data_centre": _field(_check_name, required=True),
        "kind": _field(
            checks.check_choice("engine", "service"), required=True
        ),
        "model": _field(_check_name),
        "service": _field(_check_name),
        "checks_fencing": _field(checks.check_boolean),
        "cold_limit": _field(checks.check_integer(1, 1024)),
        "warm_limit": _field(checks.check_integer(1, 65536)),
        "concurrent_loads": _field(checks.check_integer(1, 64)),
    },
    "stores": {
        "region": _field(_check_name, required=True),
        "address": _field(checks.check_address(), required=True),
    },
    "services": {
        "kind": _field(checks.check_choice("model", "plain"), required=True),
        "model": _field(_check_name),
        "depends_on": _field(checks.check_items(_check_name, 64)),
        "repeatable": _field(
            checks.check_items(
                checks.check_text(
                    r"(\*|[A-Z]{1,16}) (\*|/[!-~]{0,255})",
                    "\"METHOD path\", such as 'GET *' or 'POST /lookup'",
                ),
                64,
            )
        ),
    },
    "customers": {
        "token_sha256": _field(
            checks.check_text(r"[0-9a-f]{64}", "64 lower-case hex digits"),
            required=True,
        ),
        "share": _field(checks.check_integer(1, 1000)),
    },
}
POLICY_FIELDS: t.Dict[str, documents.Field] = {
    "seconds_per_link_megabyte": _field(checks.check_number(0, 3600)),
}
# A text without them is more likely a mistake than an intention.
REQUIRED_SECTIONS = ("regions", "data_centres")

# Keys of the text whose attribute has another name.
_ATTRIBUTES = {"in": "in_service"}


class _Parser:
    """Builds a configuration from the nodes of a text.

    `_values` and `_nodes` hold the fields of each entry by section and name:
    the valid values, and the nodes for the positions of problems.
    """

    def __init__(self) -> None:
        self.reader = documents.Reader(CODES)
        self._names: t.Dict[str, t.Dict[str, documents.Node]] = {}
        self._values: t.Dict[str, t.Dict[str, t.Dict[str, t.Any]]] = {}
        self._nodes: t.Dict[str, t.Dict[str, t.Dict[str, documents.Node]]] = {}

    def parse(self, text: str) -> t.Optional[configuration.Configuration]:
        """Return the configuration, None when problems were reported."""
        root = self.reader.compose(text)
        if root is None or not self.reader.expect(root, "", "mapping"):
            return None
        pairs = {
            name: (key, node)
            for name, key, node in self.reader.read_pairs(root, "")
        }
        known = ("regions", *FIELDS, "policy")
        for name, (key, _) in pairs.items():
            if name not in known:
                self.reader.report(
                    key,
                    name,
                    documents.Kind.UNKNOWN_KEY,
                    f"unknown section; known: {', '.join(known)}",
                )
        for section in REQUIRED_SECTIONS:
            if section not in pairs or pairs[section][1].value == []:
                self.reader.report(
                    pairs[section][1] if section in pairs else root,
                    section,
                    documents.Kind.MISSING_KEY,
                    f"the text needs at least one entry in {section!r}",
                )
        for section in ("regions", *FIELDS):
            self._read_section(
                section, pairs[section][1] if section in pairs else None
            )
        policy: t.Dict[str, t.Any] = {}
        if "policy" in pairs:
            policy, _ = self.reader.read_fields(
                pairs["policy"][1], "policy", POLICY_FIELDS
            )
        self._check_references()
        self._check_kinds()
        self._check_cycles()
        self._check_unique(
            "customers", "token_sha256", documents.Kind.TOKEN_REUSED
        )
        self._check_unique("stores", "address", documents.Kind.ADDRESS_REUSED)
        if self.reader.problems:
            return None
        return configuration.Configuration(
            regions=tuple(self._names["regions"]),
            policy=configuration.Policy(**policy),
            **{
                section: {
                    name: cls(
                        name=name,
                        **{
                            _ATTRIBUTES.get(key, key): value
                            for key, value in values.items()
                        },
                    )
                    for name, values in self._values[section].items()
                }
                for section, cls in configuration.SECTIONS.items()
            },
        )

    def _read_section(
        self, section: str, node: t.Optional[documents.Node]
    ) -> None:
        names = self._names[section] = {}
        values = self._values[section] = {}
        nodes = self._nodes[section] = {}
        if node is None or node.kind == "null":
            return
        fields = FIELDS.get(section, {})
        for name, key, entry in self.reader.read_pairs(node, section):
            path = documents.join(section, name)
            names[name] = key
            if not checks.matches(_PATTERN, name):
                self.reader.report(
                    key,
                    path,
                    documents.Kind.BAD_NAME,
                    f"the name is not {_MEANING}",
                )
            if section == "regions" and entry.kind == "null":
                continue
            values[name], nodes[name] = self.reader.read_fields(
                entry, path, fields
            )

    def _iterate(
        self, section: str, key: str
    ) -> t.Iterator[t.Tuple[str, documents.Node, t.Any]]:
        """Yield (name, node, value) of the entries with a valid `key`."""
        for name, values in self._values[section].items():
            if key in values:
                yield name, self._nodes[section][name][key], values[key]

    def _check_references(self) -> None:
        for section, key, target in (
            ("data_centres", "region", "regions"),
            ("groups", "data_centre", "data_centres"),
            ("groups", "model", "models"),
            ("groups", "service", "services"),
            ("stores", "region", "regions"),
            ("services", "model", "models"),
        ):
            for name, node, value in self._iterate(section, key):
                self._check_reference(
                    node, f"{section}.{name}.{key}", target, value
                )
        for name, node, value in self._iterate("services", "depends_on"):
            for item in node.value:
                if item.value in value:
                    self._check_reference(
                        item,
                        f"services.{name}.depends_on",
                        "services",
                        item.value,
                    )

    def _check_reference(
        self, node: documents.Node, path: str, section: str, name: str
    ) -> None:
        if name not in self._names[section]:
            self.reader.report(
                node,
                path,
                documents.Kind.MISSING_REFERENCE,
                f"{name!r} does not exist in {section!r}",
            )

    def _check_kinds(self) -> None:
        """Check which keys each kind of group and service needs."""
        for section, kind, needed, excluded in (
            ("groups", "engine", ["model"], ["service"]),
            (
                "groups",
                "service",
                ["service"],
                ["model", "checks_fencing", "concurrent_loads"],
            ),
            ("services", "model", ["model"], ["repeatable"]),
            ("services", "plain", [], ["model"]),
        ):
            for name, node, value in self._iterate(section, "kind"):
                if value != kind:
                    continue
                nodes = self._nodes[section][name]
                for key in needed:
                    if key not in nodes:
                        self._report_kind(
                            node, section, name, f"{kind!r} needs {key!r}"
                        )
                for key in excluded:
                    if key in nodes:
                        self._report_kind(
                            nodes[key],
                            section,
                            name,
                            f"{kind!r} does not use {key!r}",
                        )
        for name, node, value in self._iterate("groups", "service"):
            found = self._values["services"].get(value, {})
            if found.get("kind") == "model":
                self._report_kind(
                    node,
                    "groups",
                    name,
                    f"service {value!r} is of kind 'model'; its backend "
                    "servers are a group of kind 'engine'",
                )

    def _report_kind(
        self, node: documents.Node, section: str, name: str, message: str
    ) -> None:
        self.reader.report(
            node,
            f"{section}.{name}",
            documents.Kind.KIND_MISMATCH,
            f"kind {message}" if message[0] == "'" else message,
        )

    def _check_cycles(self) -> None:
        """Report each cycle of `depends_on` once.

        An iterative depth-first search: a chain of thousands of services
        would exceed Python's recursion limit.
        """
        graph = {
            name: value
            for name, _, value in self._iterate("services", "depends_on")
        }
        finished: t.Set[str] = set()
        for start in graph:
            trail: t.Dict[str, t.Iterator[str]] = {}
            following: t.Optional[str] = start
            while following is not None or trail:
                if following is None:
                    last = next(reversed(trail))
                    following = next(trail[last], None)
                    if following is None:
                        finished.add(last)
                        trail.popitem()
                elif following in trail:
                    names = list(trail)
                    cycle = names[names.index(following) :] + [following]
                    shown = cycle[:8] + ["..."] * (len(cycle) > 8)
                    self.reader.report(
                        self._nodes["services"][cycle[-2]]["depends_on"],
                        f"services.{cycle[-2]}.depends_on",
                        documents.Kind.CYCLE,
                        "dependency cycle: " + " -> ".join(shown),
                    )
                    following = None
                else:
                    if following not in finished:
                        trail[following] = iter(graph.get(following, ()))
                    following = None

    def _check_unique(
        self, section: str, key: str, kind: documents.Kind
    ) -> None:
        owners: t.Dict[t.Any, str] = {}
        for name, node, value in self._iterate(section, key):
            owner = owners.setdefault(value, name)
            if owner != name:
                self.reader.report(
                    node,
                    f"{section}.{name}.{key}",
                    kind,
                    f"{kind.value}: {owner!r} in line "
                    f"{self._names[section][owner].line}",
                )


def parse_text(text: str) -> configuration.Configuration:
    """Return the configuration of an operator's text, with revision 0.

    Raises `exceptions.InvalidText`, whose `problems` lists everything that
    is wrong, ordered by position.
    """
    parser = _Parser()
    size = len(text.encode(errors="replace"))
    result = None
    if size > defaults.MAX_TEXT_BYTES:
        parser.reader.report(
            None,
            "",
            documents.Kind.TOO_LARGE,
            f"{size} bytes, at most {defaults.MAX_TEXT_BYTES} are allowed",
        )
    else:
        try:
            result = parser.parse(text)
        except documents.TooManyProblems:
            result = None
    if result is None:
        last = CODES[documents.Kind.MORE]
        raise exceptions.InvalidText(
            sorted(
                parser.reader.problems,
                key=lambda p: (p.code == last, p.line, p.column),
            )
        )
    return result
