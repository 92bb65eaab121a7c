"""Runs one stand-in: `python -m standins NAME --port 0 [options]`."""

import argparse
import asyncio
import importlib
import typing as t

import attrs

from standins import server

# Class of each stand-in by name; the module has the same name.
CLASSES = {
    "keyvalue": "KeyValueServer",
    "hostlist": "HostListServer",
    "engine": "EngineServer",
    "store": "StoreServer",
    "weights": "WeightServer",
    "service": "ServiceServer",
}


def parse_flag(text: str) -> bool:
    """Return the value of "yes" or "no"."""
    if text not in ("yes", "no"):
        raise argparse.ArgumentTypeError("must be yes or no")
    return text == "yes"


def split_list(text: str) -> t.Tuple[str, ...]:
    """Return the items of a comma-separated list."""
    return tuple(item for item in text.split(",") if item)


def add_options(parser: argparse.ArgumentParser, options: type) -> None:
    """Add one option for each field of an attrs class."""
    for field in attrs.fields(options):
        kind = type(field.default)
        parser.add_argument(
            "--" + field.name.replace("_", "-"),
            type={bool: parse_flag, tuple: split_list}.get(kind, kind),
            default=field.default,
            help=f"{kind.__name__}, default {field.default!r}",
        )


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(prog="standins")
    names = parser.add_subparsers(dest="standin", required=True)
    classes: t.Dict[str, t.Type[server.Server]] = {}
    for name, class_name in CLASSES.items():
        module = importlib.import_module(f"standins.{name}")
        classes[name] = getattr(module, class_name)
        command = names.add_parser(name)
        command.add_argument("--host", default="127.0.0.1")
        command.add_argument("--port", type=int, default=0)
        add_options(command, classes[name].options_class)
    values = vars(parser.parse_args())
    cls = classes[values.pop("standin")]
    host, port = values.pop("host"), values.pop("port")
    asyncio.run(server.run(cls(cls.options_class(**values)), host, port))


if __name__ == "__main__":
    main()
