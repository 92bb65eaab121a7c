"""Command that explains where a request would go."""

import asyncio
import json
import sys
import typing as t

import typer

from sesamefold import addresses
from sesamefold import exceptions
from sesamefold import exitcodes
from sesamefold import presentation

# Path at which entry hosts explain; `entry.explanations` has it too, and is
# not imported so that the command starts without the code of the daemon.
_PATH = "/explanation"
# Largest answer: 3,500 servers at about 250 bytes each.
_MAX_ANSWER_BYTES = 2 * 1024 * 1024


def route(
    address: t.Annotated[
        str,
        typer.Argument(
            metavar="IP:PORT", help="Metrics address of an entry host."
        ),
    ],
    host: t.Annotated[str, typer.Argument(help="Host of the request.")],
    path: t.Annotated[str, typer.Argument(help="Path of the request.")],
    header: t.Annotated[
        t.Optional[t.List[str]],
        typer.Option(
            "--header", "-H", metavar="NAME:VALUE", help="Header; repeatable."
        ),
    ] = None,
    timeout: t.Annotated[
        float,
        typer.Option(min=0.1, max=3600, help="Seconds before giving up."),
    ] = 5.0,
    as_json: t.Annotated[
        bool, typer.Option("--json", help="Print JSON, errors too.")
    ] = False,
) -> None:
    """Explain where a request would go now, without sending it.

    Its headers are those that the caller would send, among them the id of
    the request. Requests change nothing until they are sent, and the figures
    on which the host decides are its own: other hosts may decide otherwise.

    Example: sesamefold route 10.1.0.40:9464 a.example /chat/ -H "Api-Key: k"
    """
    try:
        described = _describe(address, host, path, header or ())
        explained = asyncio.run(_ask(address, described, timeout))
    except exceptions.SesamefoldError as error:
        line = (
            json.dumps({"error": presentation.convert_error(error)})
            if as_json
            else f"error {error.code}: {presentation.escape(error)}"
        )
        print(line, file=sys.stderr)
        raise typer.Exit(exitcodes.find_exit_code(error)) from error
    error = explained.get("error")
    if error is not None:
        print(
            (
                json.dumps({"error": error})
                if as_json
                else presentation.escape(
                    f"error {error['code']}: {error['message']}"
                )
            ),
            file=sys.stderr,
        )
        raise typer.Exit(exitcodes.EXIT_OTHER)
    print(
        json.dumps(explained)
        if as_json
        else presentation.format_explanation(explained)
    )
    if explained["outcome"] != "sent":
        raise typer.Exit(exitcodes.EXIT_DIFFERENT)


def _describe(
    address: str, host: str, path: str, lines: t.Iterable[str]
) -> t.Dict[str, t.Any]:
    """Return the description of a request.

    Raises `exceptions.ConfigurationError` for an odd address or header.
    """
    if not addresses.is_address(address):
        raise exceptions.ConfigurationError(f"{address!r} is no ip:port")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if not separator or not name.strip():
            raise exceptions.ConfigurationError(
                f"the header {line!r} is no NAME:VALUE"
            )
        headers[name.strip()] = value.strip()
    return {"host": host, "path": path, "headers": headers}


async def _ask(
    address: str, described: t.Mapping[str, t.Any], timeout: float
) -> t.Dict[str, t.Any]:
    """Return the answer of an entry host.

    Raises `exceptions.EntryHostUnavailable`.
    """
    import aiohttp

    from sesamefold import jsonvalues
    from sesamefold import transport

    try:
        async with transport.make_session() as session:
            async with session.post(
                f"http://{address}{_PATH}",
                json=described,
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as response:
                data = await transport.read_body(response, _MAX_ANSWER_BYTES)
        answer = jsonvalues.decode(data)
        if not isinstance(answer, dict):
            raise ValueError("the answer is no JSON object")
        return answer
    except transport.CALL_ERRORS as error:
        raise exceptions.EntryHostUnavailable(
            f"{address}: {transport.describe_error(error)}"
        ) from error
