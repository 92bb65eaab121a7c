"""Events and contents of the stores of cached context."""

import functools
import typing as t

import aiohttp
import attrs

from sesamefold.entry import store_views
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold.platform import wire
from sesamefold import transport

# Time for the answer of a store after its wait, seconds.
CALL_SECONDS = 0.7
CONNECT_SECONDS = 0.3
_MS = 1000.0
_ADDED = "+"


@attrs.define
class ContextStoreClient:
    """Speaks to the stores; implements `context_stores.ContextStoreApi`."""

    session: aiohttp.ClientSession

    async def read_events(
        self, store: topology.ContextStore, position: int, seconds: float
    ) -> store_views.EventBatch:
        """Return the events after a position."""
        return await self._call(
            store,
            "GET",
            "/kv-events",
            seconds,
            functools.partial(_decode_events, position),
            params={"since": str(position)},
            headers={wire.WAIT: str(int(seconds * _MS))},
        )

    async def read_snapshot(
        self, store: topology.ContextStore
    ) -> store_views.EventBatch:
        """Return all parts that a store holds."""
        return await self._call(store, "GET", "/kv-list", 0.0, _decode_list)

    async def free(
        self,
        store: topology.ContextStore,
        boot_epoch: int,
        parts: t.Sequence[t.Tuple[str, str]],
    ) -> None:
        """Free parts in one boot epoch of a store."""
        body = {
            "parts": [list(part) for part in parts],
            "boot_epoch": boot_epoch,
        }
        await self._call(
            store,
            "POST",
            "/kv-free",
            0.0,
            lambda answer: None,
            data=wire.encode(body),
            headers={"Content-Type": wire.CONTENT_TYPE},
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
        try:
            async with self.session.request(
                method,
                f"http://{store.address}{path}",
                timeout=aiohttp.ClientTimeout(
                    total=seconds + CALL_SECONDS, sock_connect=CONNECT_SECONDS
                ),
                **options,
            ) as response:
                data = await response.read()
                if response.status != 200:
                    raise exceptions.StoreUnavailable(
                        f"status {response.status}"
                    )
                return decode(wire.decode(data) if data else None)
        except transport.CALL_ERRORS as error:
            raise exceptions.StoreUnavailable(
                transport.describe(error)
            ) from error


def _decode_events(since: int, body: t.Any) -> store_views.EventBatch:
    return store_views.EventBatch(
        since=since,
        # The start of the store, not an epoch of the fleet.
        boot_epoch=body["boot_epoch"],
        # The position to ask for next time.
        position=body["next"],
        gap=bool(body["lost"]),
        engine_time=_decode_clock(body),
        events=tuple(
            store_views.ContextEvent(
                number, kind == _ADDED, salt, part, tokens
            )
            for number, kind, salt, part, tokens, *_ in body["events"]
        ),
    )


def _decode_list(body: t.Any) -> store_views.EventBatch:
    return store_views.EventBatch(
        is_snapshot=True,
        since=0,
        boot_epoch=body["boot_epoch"],
        position=body["next"],
        gap=False,
        engine_time=_decode_clock(body),
        events=tuple(
            store_views.ContextEvent(0, True, salt, part, tokens)
            for salt, part, tokens, *_ in body["held"]
        ),
    )


def _decode_clock(body: t.Mapping[str, t.Any]) -> t.Optional[float]:
    clock_ms = body.get("clock_ms")
    return None if clock_ms is None else clock_ms / _MS
