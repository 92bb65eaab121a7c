"""Process settings."""

import pathlib
import typing as t

import attrs

from sesamefold import checks
from sesamefold import documents
from sesamefold import exceptions

PREFIX = "SESAMEFOLD_"
MAX_FILE_BYTES = 64 * 1024

# Variables that the command line reads, not overrides of a setting.
COMMAND_VARIABLES = frozenset(
    PREFIX + name for name in ("SETTINGS", "PLATFORM", "CONTROL", "AUTHOR")
)

CODES: t.Dict[documents.Kind, int] = {
    documents.Kind.EMPTY: 1602,
    documents.Kind.TOO_LARGE: 1603,
    documents.Kind.MALFORMED: 1604,
    documents.Kind.UNSUPPORTED: 1604,
    documents.Kind.UNKNOWN_KEY: 1605,
    documents.Kind.DUPLICATE_KEY: 1606,
    documents.Kind.WRONG_TYPE: 1607,
    documents.Kind.MISSING_KEY: 1608,
    documents.Kind.OUT_OF_RANGE: 1609,
    documents.Kind.BAD_VALUE: 1610,
    documents.Kind.BAD_ADDRESS: 1611,
    documents.Kind.MORE: 1612,
}
UNREADABLE = 1601


@attrs.frozen
class HandleKey:
    """A key that authenticates resume handles; the first one signs."""

    id: str
    secret: str = attrs.field(repr=False)


@attrs.frozen
class Settings:
    """Settings of the daemons of one entry host.

    Addresses are ip:port; port 0 lets the kernel choose.
    """

    host: str  # name of the entry host
    data_centre: str
    key_value_url: str
    host_list_url: str
    gateway_address: str = "127.0.0.1:0"
    control_address: str = "127.0.0.1:0"
    metrics_address: str = "127.0.0.1:0"  # of the control daemon
    handle_keys: t.Tuple[HandleKey, ...] = ()
    drain_delay: float = 2.0  # seconds between not ready and closing
    drain_time: float = 60.0  # seconds that streams get to finish
    placement: str = "estimate"  # one of PLACEMENTS


# Rules for the choice of a backend server; `routing` implements them. The
# control reads settings too, and does not import `routing`.
PLACEMENTS = ("random", "least_loaded", "affinity", "estimate")

_NAME = checks.check_text(
    r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}",
    "a name of letters, digits, '.', '_' and '-'",
)
_KEY_FIELDS = {
    "id": documents.Field(
        checks.check_text(
            r"[A-Za-z0-9_-]{1,16}",
            "a key id of up to 16 letters, digits, '_' and '-'",
        ),
        required=True,
    ),
    "secret": documents.Field(
        checks.check_text(
            r"[^\s,:]{16,256}",
            "a secret of 16 to 256 characters without spaces, ',' and ':'",
            secret=True,
        ),
        required=True,
    ),
}


def _check_keys(
    reader: documents.Reader, node: documents.Node, path: str
) -> t.Any:
    keys: t.Dict[str, HandleKey] = {}
    for index, item in enumerate(reader.read_items(node, path)):
        below = f"{path}[{index}]"
        values, _ = reader.read_fields(item, below, _KEY_FIELDS)
        if len(values) < len(_KEY_FIELDS):
            continue
        if values["id"] in keys:
            reader.report(
                item,
                below,
                documents.Kind.DUPLICATE_KEY,
                f"key id {values['id']!r} appears twice",
            )
        keys[values["id"]] = HandleKey(**values)
    return tuple(keys.values())


FIELDS: t.Dict[str, documents.Field] = {
    "host": documents.Field(_NAME, required=True),
    "data_centre": documents.Field(_NAME, required=True),
    "key_value_url": documents.Field(checks.check_url, required=True),
    "host_list_url": documents.Field(checks.check_url, required=True),
    "gateway_address": documents.Field(checks.check_address(0)),
    "control_address": documents.Field(checks.check_address(0)),
    "metrics_address": documents.Field(checks.check_address(0)),
    "handle_keys": documents.Field(_check_keys),
    "drain_delay": documents.Field(checks.check_number(0, 600)),
    "drain_time": documents.Field(checks.check_number(0, 86400)),
    "placement": documents.Field(checks.check_choice(*PLACEMENTS)),
}


def _read_override(name: str, text: str) -> documents.Node:
    """Return the value of a variable as a node without position.

    `handle_keys` is written as `id:secret,id:secret`.
    """

    def build(kind: str, value: t.Any) -> documents.Node:
        return documents.Node(kind, value, 0, 0, 0, 0, raw=str(value))

    if name.startswith("drain_"):
        try:
            return build("number", float(text))
        except ValueError:
            return build("text", text)
    if name != "handle_keys":
        return build("text", text)
    pairs = [item.partition(":")[::2] for item in text.split(",") if item]
    return build(
        "sequence",
        [
            build(
                "mapping",
                [
                    (build("text", "id"), build("text", key)),
                    (build("text", "secret"), build("text", secret)),
                ],
            )
            for key, secret in pairs
        ],
    )


def _read_file(reader: documents.Reader, path: str) -> documents.Node:
    """Return the mapping of a file; an unreadable one counts as empty."""
    nothing = documents.Node("mapping", [], 0, 0, 0, 0)
    try:
        with pathlib.Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
        text = data.decode()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not UTF-8"
        reader.problems.append(
            documents.Problem(
                0, 0, "", UNREADABLE, f"cannot read {path}: {reason}"
            )
        )
        return nothing
    if len(data) > MAX_FILE_BYTES:
        reader.report(
            None,
            "",
            documents.Kind.TOO_LARGE,
            f"{path} is larger than {MAX_FILE_BYTES} bytes",
        )
        return nothing
    return reader.compose(text) or nothing


def load_settings(
    path: t.Union[str, pathlib.Path], environ: t.Mapping[str, str]
) -> Settings:
    """Return the settings of a YAML file with overrides from `environ`.

    The variable of a setting is its name in capitals with the prefix
    `SESAMEFOLD_`. Raises `exceptions.SettingsError`, whose `problems` lists
    everything that is wrong with file and variables.
    """
    reader = documents.Reader(CODES)
    values: t.Dict[str, t.Any] = {}
    try:
        root = _read_file(reader, str(path))
        overridden = {
            name: PREFIX + name.upper()
            for name in FIELDS
            if PREFIX + name.upper() in environ
        }
        # An overridden setting may be missing from the file.
        fields = {
            name: attrs.evolve(
                field, required=field.required and name not in overridden
            )
            for name, field in FIELDS.items()
        }
        # The cause of an unreadable file is enough: the keys that are
        # missing as a consequence are not reported.
        if not reader.problems:
            values, _ = reader.read_fields(root, "", fields)
        known = COMMAND_VARIABLES.union(overridden.values())
        for variable in sorted(environ):
            if variable.startswith(PREFIX) and variable not in known:
                reader.report(
                    None,
                    variable,
                    documents.Kind.UNKNOWN_KEY,
                    "the variable overrides no setting",
                )
        for name, variable in overridden.items():
            values[name] = FIELDS[name].check(
                reader, _read_override(name, environ[variable]), variable
            )
    except documents.TooManyProblems:
        pass
    if reader.problems:
        raise exceptions.SettingsError(reader.problems)
    return Settings(**values)
