"""A caller of the gateway that reads and resumes streams."""

import json
import typing as t

import aiohttp
import attrs


@attrs.define
class Answer:
    """What a caller got so far for one request."""

    tokens: t.List[str] = attrs.field(factory=list)
    offset: int = 0
    handle: str = ""
    request: str = ""
    finished: bool = False
    report: t.Dict[str, t.Any] = attrs.field(factory=dict)

    @property
    def text(self) -> str:
        """Return the text received."""
        return "".join(self.tokens)


class CallError(Exception):
    """The gateway answered with an error body."""

    def __init__(self, status: int, error: t.Mapping[str, t.Any]) -> None:
        super().__init__(f"{status}: {error}")
        self.status = status
        self.error = error


async def stream_completion(
    session: aiohttp.ClientSession,
    url: str,
    token: str,
    body: t.Mapping[str, t.Any],
    answer: Answer,
    on_token: t.Callable[[Answer], t.Awaitable[None]] | None = None,
    deadline: float | None = None,
) -> Answer:
    """Send a prompt, or resume it when `answer` has a handle.

    `deadline` is in Unix seconds.

    The answer is extended in place, so that after a lost connection the same
    object can be passed again with the URL of another gateway.
    """
    headers = {"Authorization": f"Bearer {token}"}
    if answer.handle:
        headers["Sesamefold-Resume"] = answer.handle
        headers["Last-Event-ID"] = str(answer.offset)
    if deadline is not None:
        headers["Sesamefold-Deadline"] = str(deadline)
    async with session.post(
        f"{url}/v1/completions",
        json={**body, "stream": True},
        headers=headers,
    ) as response:
        if response.status != 200:
            raise CallError(response.status, (await response.json())["error"])
        answer.handle = response.headers["Sesamefold-Handle"]
        answer.request = response.headers["Sesamefold-Request"]
        event_id = ""
        async for raw in response.content:
            field, _, value = raw.decode().rstrip("\r\n").partition(": ")
            if field == "id":
                event_id = value
            elif field == "data" and value == "[DONE]":
                answer.finished = True
            elif field == "data":
                await _add_event(answer, event_id, json.loads(value))
                if on_token is not None:
                    await on_token(answer)
    return answer


async def _add_event(
    answer: Answer, event_id: str, data: t.Mapping[str, t.Any]
) -> None:
    if "error" in data:
        raise CallError(200, data["error"])
    usage = data.get("usage") or {}
    answer.report.update(usage.get("sesamefold") or {})
    if "prompt_tokens" in usage:
        answer.report["prompt_tokens"] = usage["prompt_tokens"]
    choices = data.get("choices") or []
    if choices and choices[0].get("text"):
        answer.tokens.append(choices[0]["text"])
        answer.offset = int(event_id)


async def call_service(
    session: aiohttp.ClientSession,
    url: str,
    token: str,
    method: str,
    path: str,
    body: t.Any = None,
    key: str = "",
) -> t.Tuple[int, t.Any]:
    """Call a plain service; return status and decoded body."""
    headers = {"Authorization": f"Bearer {token}"}
    if key:
        headers["Idempotency-Key"] = key
    async with session.request(
        method, f"{url}/v1/services/{path}", json=body, headers=headers
    ) as response:
        raw = await response.read()
        try:
            return response.status, json.loads(raw)
        except ValueError:
            return response.status, raw.decode()
