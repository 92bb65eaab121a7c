"""Client of the stores of cached context."""

import functools
import typing as t

import aiohttp
import attrs

from sesamefold.entry import store_views
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold.platform import wire
from sesamefold import transport

# Timeout of a call, on top of the time that the store is asked to wait.
CALL_TIMEOUT_SECONDS = 0.7
CONNECT_TIMEOUT_SECONDS = 0.3
# Latest time of the engines' clock that is taken for one, in milliseconds.
_MAX_CLOCK_MS = 1e15
_MS_PER_SECOND = 1000.0
# Kind of the event of a part that was added; any other is a removal.
_ADDED_KIND = "+"


@attrs.define
class ContextStoreClient:
    """Client of the stores; implements `context_stores.ContextStoreApi`.

    Methods raise `exceptions.StoreUnavailable`.
    """

    session: aiohttp.ClientSession

    async def read_events(
        self, store: topology.ContextStore, position: int, seconds: float
    ) -> store_views.EventBatch:
        """Return the events after a position, waiting up to `seconds`."""
        return await self._call(
            store,
            "GET",
            "/kv-events",
            seconds,
            functools.partial(_decode_events, position),
            params={"since": str(position)},
            headers={wire.WAIT_MS: str(int(seconds * _MS_PER_SECOND))},
        )

    async def read_snapshot(
        self, store: topology.ContextStore
    ) -> store_views.EventBatch:
        """Return all parts that a store holds, as events that add them."""
        return await self._call(
            store, "GET", "/kv-list", 0.0, _decode_snapshot
        )

    async def free(
        self,
        store: topology.ContextStore,
        boot_epoch: int,
        parts: t.Sequence[t.Tuple[str, str]],
        deadline: t.Optional[float] = None,
    ) -> None:
        """Free parts, each as (salt, part), in one boot epoch of a store."""
        body: t.Dict[str, t.Any] = {
            "parts": [list(part) for part in parts],
            "boot_epoch": boot_epoch,
        }
        if deadline is not None:
            body["until_ms"] = int(deadline * _MS_PER_SECOND)
        await self._call(
            store,
            "POST",
            "/kv-free",
            0.0,
            lambda reply: None,
            data=wire.encode(body),
            headers={"Content-Type": wire.JSON_CONTENT_TYPE},
        )

    async def _call(
        self,
        store: topology.ContextStore,
        method: str,
        path: str,
        seconds: float,
        decode: t.Callable[[t.Any], t.Any],
        **options: t.Any,
    ) -> t.Any:
        """Return the body of the reply, decoded by `decode`.

        `seconds` is how long the store may wait before it replies.
        """
        try:
            async with self.session.request(
                method,
                f"http://{store.address}{path}",
                timeout=aiohttp.ClientTimeout(
                    total=seconds + CALL_TIMEOUT_SECONDS,
                    sock_connect=CONNECT_TIMEOUT_SECONDS,
                ),
                **options,
            ) as response:
                data = await transport.read_body(response)
                if response.status != 200:
                    raise exceptions.StoreUnavailable(
                        f"status {response.status}"
                    )
                return decode(wire.decode(data) if data else None)
        except transport.CALL_ERRORS as error:
            raise exceptions.StoreUnavailable(
                transport.describe_error(error)
            ) from error


def _decode_events(since: int, body: t.Any) -> store_views.EventBatch:
    """Return the events after the position `since`."""
    return store_views.EventBatch(
        start_position=since,
        # Identifies one run of this store; it is not a fleet-wide epoch.
        boot_epoch=wire.get_field(body, "boot_epoch", int),
        # The position to continue from in the next call.
        position=wire.get_count(body, "next"),
        gap=wire.get_field(body, "lost", bool),
        engine_time=_decode_engine_time(body),
        events=tuple(
            _make_event(number, kind == _ADDED_KIND, salt, part, tokens)
            for number, kind, salt, part, tokens, *_ in body["events"]
        ),
    )


def _decode_snapshot(body: t.Any) -> store_views.EventBatch:
    """Return the list of all parts as a batch of events that add them."""
    return store_views.EventBatch(
        is_snapshot=True,
        start_position=0,
        boot_epoch=wire.get_field(body, "boot_epoch", int),
        position=wire.get_count(body, "next"),
        gap=False,
        engine_time=_decode_engine_time(body),
        events=tuple(
            _make_event(0, True, salt, part, tokens)
            for salt, part, tokens, *_ in body["held"]
        ),
    )


def _make_event(
    number: t.Any, added: bool, salt: t.Any, part: t.Any, tokens: t.Any
) -> store_views.ContextEvent:
    """Return an event; raises `TypeError` or `ValueError`."""
    return store_views.ContextEvent(
        wire.check_count(number, "number"),
        added,
        wire.check_type(salt, "salt", str),
        wire.check_type(part, "part", str),
        wire.check_count(tokens, "tokens"),
    )


def _decode_engine_time(body: t.Mapping[str, t.Any]) -> t.Optional[float]:
    """Return the engines' clock in seconds, None if it is not given."""
    if body.get("clock_ms") is None:
        return None
    clock_ms = wire.get_field(body, "clock_ms", (int, float))
    if not 0 <= clock_ms <= _MAX_CLOCK_MS:
        raise ValueError("clock_ms is out of range")
    return float(clock_ms) / _MS_PER_SECOND
