"""Codec between HTTP headers of the platform and the product's types."""

import datetime
import email.utils
import re
import time
import typing as t

import multidict

from sesamefold.entry import requests
from sesamefold import exceptions
from sesamefold.platform import wire

_MS_PER_SECOND = 1000.0
# A decimal number that is not negative. The digits are limited because longer
# numbers are too large to calculate with.
_DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
# A whole number that is not negative, of as many digits at most.
_INTEGER = re.compile(r"[0-9]{1,15}")
# Seconds, possibly with a fraction; a long number is as good as infinite.
_DELAY = re.compile(r"[0-9]{1,100}(\.[0-9]{0,100})?|\.[0-9]{1,100}")
_RETRY_AFTER = "Retry-After"
_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503
# Statuses that tell callers that a request was not executed and never will be.
_REFUSAL_STATUSES = (408, _MISDIRECTED_STATUS, 429, _UNAVAILABLE_STATUS)
_NO_ADDRESS = "-"
# Time that work takes on a server's machine when it is as usual.
_USUAL_PERCENT = 100
_LEAVING_VALUE = "1"
# Characters of an ignored header that are logged.
_MAX_LOGGED_CHARACTERS = 80
# Headers that are never forwarded: those that apply to one connection only,
# and those that are set anew for each.
_UNFORWARDED_NAMES = frozenset(
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
# Headers with these prefixes are reserved for the platform; of those that a
# caller sends, only `_FORWARDED_REQUEST_NAMES` are forwarded.
_RESERVED_PREFIXES = ("sesamefold-", "kv-")
# Reserved headers without a reserved prefix.
_RESERVED_NAMES = frozenset({"api-key", "server-leaving", "wait-ms"})
# Reserved headers that backend servers get as the caller sent them.
_FORWARDED_REQUEST_NAMES = frozenset(
    name.lower()
    for name in (
        wire.REQUEST_ID,
        wire.MODEL,
        wire.TOKEN_COUNTS,
        wire.PROMPT_PARTS,
        wire.OUTPUT_ESTIMATE,
    )
)
# Reserved headers of backend servers' replies that callers get.
_FORWARDED_REPLY_NAMES = frozenset(
    name.lower()
    for name in (wire.REQUEST_ID, wire.RESPONSE_SEAL, wire.WEIGHT_VERSIONS)
)


class HeaderCodec:
    """Codec of the headers of callers and backend servers.

    Implements `requests.Codec`. `read_date` returns the time of day in Unix
    seconds, with which dates in headers are compared.
    """

    def __init__(self, read_date: t.Callable[[], float] = time.time) -> None:
        self._read_date = read_date

    def read_request(
        self, headers: "multidict.CIMultiDictProxy[str]"
    ) -> requests.RequestHead:
        """Return the decoded headers of a caller's request.

        Raises `exceptions.MalformedRequest`.
        """
        for name in (wire.REQUEST_ID, wire.API_KEY, *_FORWARDED_REQUEST_NAMES):
            if len(headers.getall(name, ())) > 1:
                raise exceptions.MalformedRequest(f"repeated header {name}")
        request_id = headers.get(wire.REQUEST_ID)
        if not request_id:
            raise exceptions.MalformedRequest(
                f"missing header {wire.REQUEST_ID}"
            )
        timeout_ms = _parse_number(headers.get(wire.TIMEOUT_MS))
        return requests.RequestHead(
            request_id=request_id,
            forwarded=_filter_forwarded(
                headers, _FORWARDED_REQUEST_NAMES, {"last-event-id"}
            ),
            timeout_seconds=(
                None if timeout_ms is None else timeout_ms / _MS_PER_SECOND
            ),
            api_key=headers.get(wire.API_KEY),
            prompt=_parse_prompt(headers),
            last_event_id=headers.get(wire.LAST_EVENT_ID),
        )

    def write_request(
        self, head: requests.RequestHead, added: requests.AddedHeaders
    ) -> requests.Headers:
        """Return the headers of a request to a backend server.

        The time left is rounded down to whole milliseconds, but not to 0.
        """
        headers = multidict.CIMultiDict(head.forwarded)
        headers[wire.TIMEOUT_MS] = str(
            max(1, int(added.seconds_left * _MS_PER_SECOND))
        )
        headers[wire.EXPECTED_SERVER] = added.server_id
        if added.customer is not None:
            headers[wire.CUSTOMER] = added.customer
        if head.prompt is not None:
            headers[wire.PRIORITY] = str(min(9, max(0, added.priority)))
        if added.context is not None:
            headers.update(_encode_context(added.context))
        if added.last_event_id is not None:
            headers[wire.LAST_EVENT_ID] = added.last_event_id
        return headers

    def read_reply_id(
        self, headers: "multidict.MultiMapping[str]"
    ) -> t.Optional[str]:
        """Return the id of the request that a reply names, None without one.

        Several ids are none.
        """
        ids = headers.getall(wire.REQUEST_ID, ())
        return ids[0] if len(ids) == 1 else None

    def read_reply(
        self, status: int, headers: "multidict.MultiMapping[str]"
    ) -> requests.ReplyHead:
        """Return the decoded head of a backend server's reply."""
        ignored: t.List[str] = []
        length = _parse_number(headers.get("Content-Length"))
        return requests.ReplyHead(
            status=status,
            not_executed=(
                wire.NOT_EXECUTED in headers or status == _MISDIRECTED_STATUS
            ),
            sealed=wire.RESPONSE_SEAL in headers,
            content_encoded="Content-Encoding" in headers,
            content_length=None if length is None else int(length),
            forwarded=_filter_forwarded(
                headers, _FORWARDED_REPLY_NAMES, set()
            ),
            load=_parse_load(headers.get(wire.SERVER_LOAD)),
            is_refusal=status in _REFUSAL_STATUSES,
            mismatched=status == _MISDIRECTED_STATUS,
            server_id=headers.get(wire.SERVER_ID),
            leaving=_parse_leaving(headers, ignored),
            rest_seconds=(
                self._parse_rest(headers, ignored)
                if status == _UNAVAILABLE_STATUS
                else None
            ),
            ignored_headers=tuple(ignored),
        )

    def _parse_rest(
        self, headers: "multidict.MultiMapping[str]", ignored: t.List[str]
    ) -> t.Optional[float]:
        """Return for how many seconds a server asks for no requests.

        The result is 0.0 for a date in the past and the longest time for
        several values. Malformed values are appended to `ignored`.
        """
        seconds = []
        for text in headers.getall(_RETRY_AFTER, ()):
            if _DELAY.fullmatch(text.strip()):
                seconds.append(float(text))
                continue
            try:
                date = email.utils.parsedate_to_datetime(text)
                if date.tzinfo is None:
                    date = date.replace(tzinfo=datetime.timezone.utc)
                seconds.append(max(0.0, date.timestamp() - self._read_date()))
            except (ValueError, TypeError, IndexError, OverflowError):
                ignored.append(_describe_header(_RETRY_AFTER, [text]))
        return max(seconds, default=None)

    def write_error(
        self, request_id: t.Optional[str], retry_seconds: t.Optional[float]
    ) -> requests.Headers:
        """Return the headers of an error reply by the entry host itself."""
        headers: requests.Headers = multidict.CIMultiDict()
        if request_id is not None:
            headers[wire.REQUEST_ID] = request_id
        if retry_seconds is not None:
            headers[_RETRY_AFTER] = f"{retry_seconds:.2f}"
        return headers


def _encode_context(plan: requests.ContextPlan) -> t.Dict[str, str]:
    """Return the headers that say which context to fetch and to save."""
    headers = {
        wire.CACHE_SALT: plan.salt,
        wire.EXPECTED_WEIGHT_VERSION: str(plan.weight_version),
    }
    if any(plan.fetches):
        # Without a number of tokens, an engine would also fetch space that
        # the store has reserved but that is not written yet.
        headers[wire.CONTEXT_SOURCES] = ",".join(
            f"{fetch.address}/{fetch.tokens}" if fetch else _NO_ADDRESS
            for fetch in plan.fetches
        )
        headers[wire.FETCH_DEADLINE_MS] = str(
            int(plan.fetch_deadline * _MS_PER_SECOND)
        )
    if any(plan.saves):
        headers[wire.CONTEXT_TARGETS] = ",".join(
            address or _NO_ADDRESS for address in plan.saves
        )
    return headers


def _filter_forwarded(
    headers: t.Mapping[str, str],
    allowed_names: t.Container[str],
    dropped_names: t.Container[str],
) -> requests.Headers:
    """Return the headers that are forwarded to the other side.

    Headers that are reserved for the platform are forwarded only if their
    lower-case names are in `allowed_names`. A name with underscores counts as
    reserved if the same name with hyphens is.
    """
    connection_names = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    } - set(_FORWARDED_REQUEST_NAMES)
    selected: requests.Headers = multidict.CIMultiDict()
    for name, value in headers.items():
        lower_name = name.lower()
        hyphenated_name = lower_name.replace("_", "-")
        if (
            lower_name in _UNFORWARDED_NAMES
            or lower_name in connection_names
            or lower_name in dropped_names
        ):
            continue
        is_reserved = hyphenated_name.startswith(_RESERVED_PREFIXES) or (
            hyphenated_name in _RESERVED_NAMES
        )
        if is_reserved and lower_name not in allowed_names:
            continue
        selected.add(name, value)
    return selected


def _parse_number(text: t.Optional[str]) -> t.Optional[float]:
    """Return the number in `text`, None if it is missing or malformed."""
    if text is None or _DECIMAL.fullmatch(text.strip()) is None:
        return None
    return float(text)


def _parse_prompt(
    headers: t.Mapping[str, str],
) -> t.Optional[requests.Prompt]:
    """Return the prompt that the headers describe, None without one.

    Raises `exceptions.MalformedRequest`.
    """
    model, tokens = headers.get(wire.MODEL), headers.get(wire.TOKEN_COUNTS)
    if model is None or tokens is None:
        return None
    token_counts = [_parse_number(text) for text in tokens.split(",")]
    if len(token_counts) != 2 or None in token_counts:
        raise exceptions.MalformedRequest(
            f"{wire.TOKEN_COUNTS} must hold two numbers"
        )
    estimate = _parse_number(headers.get(wire.OUTPUT_ESTIMATE))
    return requests.Prompt(
        model=model,
        tokens=int(t.cast(float, token_counts[0])),
        max_output_tokens=int(t.cast(float, token_counts[1])),
        parts=tuple(_parse_parts(headers.get(wire.PROMPT_PARTS, ""))),
        expected_output_tokens=None if estimate is None else int(estimate),
    )


def _parse_parts(text: str) -> t.Iterator[requests.PromptPart]:
    """Yield the parts of a prompt from a list of "ID:TOKENS"."""
    for entry in filter(None, text.split(",")):
        part_id, _, tokens = entry.strip().partition(":")
        if _INTEGER.fullmatch(tokens) is None:
            raise exceptions.MalformedRequest("malformed part of the prompt")
        yield requests.PromptPart(part_id, int(tokens))


def _parse_load(text: t.Optional[str]) -> t.Optional[requests.ReportedLoad]:
    """Return a server's load, None if it is missing or malformed.

    The fourth figure, in percent of the usual time, may be missing.
    """
    load_fields = (text or "").split(",")
    if len(load_fields) not in (3, 4) or not all(
        _INTEGER.fullmatch(field.strip()) for field in load_fields
    ):
        return None
    running, queued, slots, *percent = (int(field) for field in load_fields)
    slowdown = percent[0] / _USUAL_PERCENT if percent and percent[0] else None
    return requests.ReportedLoad(running, queued, slots, slowdown)


def _parse_leaving(
    headers: "multidict.MultiMapping[str]", ignored: t.List[str]
) -> bool:
    """Return whether a server announces that it leaves.

    A header with another value than the documented one is appended to
    `ignored`.
    """
    values = set(headers.getall(wire.LEAVING, ()))
    if values and values != {_LEAVING_VALUE}:
        ignored.append(_describe_header(wire.LEAVING, values))
    return values == {_LEAVING_VALUE}


def _describe_header(name: str, values: t.Iterable[str]) -> str:
    """Return a header with its values, shortened for the log."""
    return f"{name}: {', '.join(sorted(values))}"[:_MAX_LOGGED_CHARACTERS]
