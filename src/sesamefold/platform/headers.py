"""Headers of requests and replies, decoded into product types."""

import re
import typing as t

import multidict

from sesamefold.entry import requests
from sesamefold import exceptions
from sesamefold.platform import wire

_MS = 1000.0
# Numbers as callers write them. More digits are no number: they would be too
# large to count with.
_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
_COUNT = re.compile(r"[0-9]{1,15}")
_MISDIRECTED = 421
_NO_ADDRESS = "-"
# Headers of one connection, and those that are computed anew.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Names in these spaces belong to the platform; a caller may send only those
# that are listed after them.
_RESERVED_SPACES = ("sesamefold-", "kv-")
_RESERVED_NAMES = frozenset({"api-key", "wait-ms"})
_CALLER_NAMES = frozenset(
    name.lower()
    for name in (
        wire.REQUEST_ID,
        wire.MODEL,
        wire.TOKENS,
        wire.PROMPT_PARTS,
        wire.OUTPUT_ESTIMATE,
    )
)
# Reserved names in replies that callers get.
_REPLY_NAMES = frozenset(
    name.lower() for name in (wire.REQUEST_ID, wire.SEAL, wire.WEIGHTS)
)


class HeaderCodec:
    """The headers of the platform's callers and backend servers."""

    def read_request(
        self, headers: "multidict.CIMultiDictProxy[str]"
    ) -> requests.RequestHead:
        """Decode a caller's headers.

        Raises `exceptions.MalformedRequest`.
        """
        for name in (wire.REQUEST_ID, wire.API_KEY, *_CALLER_NAMES):
            if len(headers.getall(name, ())) > 1:
                raise exceptions.MalformedRequest(f"{name} is repeated")
        request_id = headers.get(wire.REQUEST_ID)
        if not request_id:
            raise exceptions.MalformedRequest(f"no {wire.REQUEST_ID}")
        wait_ms = _parse_number(headers.get(wire.DEADLINE))
        return requests.RequestHead(
            request_id=request_id,
            forwarded=_select(headers, _CALLER_NAMES, {"last-event-id"}),
            timeout_seconds=None if wait_ms is None else wait_ms / _MS,
            api_key=headers.get(wire.API_KEY),
            prompt=_parse_prompt(headers),
            last_event_id=headers.get(wire.LAST_EVENT),
        )

    def write_request(
        self, head: requests.RequestHead, added: requests.AddedHeaders
    ) -> requests.Headers:
        """Return the headers of a request to a backend server."""
        headers = multidict.CIMultiDict(head.forwarded)
        headers[wire.DEADLINE] = str(max(1, int(added.seconds_left * _MS)))
        headers[wire.EXPECTED_SERVER] = added.server_id
        if added.customer is not None:
            headers[wire.CUSTOMER] = added.customer
        if head.prompt is not None:
            headers[wire.PRIORITY] = str(min(9, max(0, added.priority)))
        if added.context is not None:
            headers.update(_write_context(added.context))
        if added.last_event_id is not None:
            headers[wire.LAST_EVENT] = added.last_event_id
        return headers

    def read_reply(
        self, status: int, headers: t.Mapping[str, str]
    ) -> requests.ReplyHead:
        """Decode the head of a backend server's reply."""
        length = _parse_number(headers.get("Content-Length"))
        return requests.ReplyHead(
            status=status,
            request_id=headers.get(wire.REQUEST_ID),
            not_executed=(
                wire.NOT_EXECUTED in headers or status == _MISDIRECTED
            ),
            sealed=wire.SEAL in headers,
            content_encoded="Content-Encoding" in headers,
            content_length=None if length is None else int(length),
            forwarded=_select(headers, _REPLY_NAMES, set()),
            load=_parse_load(headers.get(wire.SERVER_LOAD)),
            mismatched=status == _MISDIRECTED,
        )

    def write_error(
        self, request_id: t.Optional[str], retry_seconds: t.Optional[float]
    ) -> requests.Headers:
        """Return the headers of an answer of the entry host's own."""
        headers: requests.Headers = multidict.CIMultiDict()
        if request_id is not None:
            headers[wire.REQUEST_ID] = request_id
        if retry_seconds is not None:
            headers["Retry-After"] = f"{retry_seconds:.2f}"
        return headers


def _write_context(plan: requests.ContextPlan) -> t.Dict[str, str]:
    headers = {
        wire.CACHE_SALT: plan.salt,
        wire.EXPECTED_WEIGHTS: str(plan.weight_version),
    }
    if any(plan.fetches):
        # Without a number of tokens, an engine would also read what is
        # reserved and not yet written.
        headers[wire.FETCH_FROM] = ",".join(
            f"{fetch.address}/{fetch.tokens}" if fetch else _NO_ADDRESS
            for fetch in plan.fetches
        )
        headers[wire.FETCH_UNTIL] = str(int(plan.fetch_deadline * _MS))
    if any(plan.saves):
        headers[wire.SAVE_TO] = ",".join(
            address or _NO_ADDRESS for address in plan.saves
        )
    return headers


def _select(
    headers: t.Mapping[str, str],
    reserved: t.Container[str],
    dropped: t.Container[str],
) -> requests.Headers:
    """Return the headers that go on to the other side.

    Names that the platform reserves go on only if they are in `reserved`;
    a spelling with underscores counts as the name with hyphens.
    """
    named = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    } - set(_CALLER_NAMES)
    selected: requests.Headers = multidict.CIMultiDict()
    for name, value in headers.items():
        plain = name.lower()
        folded = plain.replace("_", "-")
        if plain in _HOP_BY_HOP or plain in named or plain in dropped:
            continue
        owned = folded.startswith(_RESERVED_SPACES) or (
            folded in _RESERVED_NAMES
        )
        if owned and plain not in reserved:
            continue
        selected.add(name, value)
    return selected


def _parse_number(text: t.Optional[str]) -> t.Optional[float]:
    """Return a number that is not negative, None for any other text."""
    if text is None or _NUMBER.fullmatch(text.strip()) is None:
        return None
    return float(text)


def _parse_prompt(
    headers: t.Mapping[str, str],
) -> t.Optional[requests.Prompt]:
    model, tokens = headers.get(wire.MODEL), headers.get(wire.TOKENS)
    if model is None or tokens is None:
        return None
    sizes = [_parse_number(text) for text in tokens.split(",")]
    if len(sizes) != 2 or None in sizes:
        raise exceptions.MalformedRequest(f"{wire.TOKENS} has no two numbers")
    estimate = _parse_number(headers.get(wire.OUTPUT_ESTIMATE))
    return requests.Prompt(
        model=model,
        tokens=int(t.cast(float, sizes[0])),
        max_output_tokens=int(t.cast(float, sizes[1])),
        parts=tuple(_parse_parts(headers.get(wire.PROMPT_PARTS, ""))),
        expected_output_tokens=None if estimate is None else int(estimate),
    )


def _parse_parts(text: str) -> t.Iterator[requests.PromptPart]:
    for entry in filter(None, text.split(",")):
        part_id, _, tokens = entry.strip().partition(":")
        if _COUNT.fullmatch(tokens) is None:
            raise exceptions.MalformedRequest("a part of the prompt is broken")
        yield requests.PromptPart(part_id, int(tokens))


def _parse_load(text: t.Optional[str]) -> t.Optional[requests.ReportedLoad]:
    """Return the load, None when it is missing or broken."""
    numbers = (text or "").split(",")
    if len(numbers) != 3 or not all(
        _COUNT.fullmatch(number.strip()) for number in numbers
    ):
        return None
    return requests.ReportedLoad(*(int(n) for n in numbers))
