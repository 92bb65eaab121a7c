"""Reports of engines and orders to them."""

import typing as t

import aiohttp
import attrs

from sesamefold.entry import orders
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold.platform import wire
from sesamefold import transport

# Time for the answer of an engine, seconds; it is due at once.
CALL_SECONDS = 0.5
CONNECT_SECONDS = 0.4
# Runs go on under the new weights. Waiting for their end instead idles the
# engine for as long as its longest run takes.
_CONTINUE_RUNS = "retain"
_ACCEPTED = (200, 202)


@attrs.define
class EngineClient:
    """Speaks to engines; implements `orders.EngineControl`."""

    session: aiohttp.ClientSession

    async def read_report(
        self, server: topology.Server
    ) -> orders.EngineReport:
        """Return an engine's report of itself."""
        status, body = await self._call(server, "GET", "/report", None)
        try:
            if status != 200:
                raise ValueError(f"status {status}")
            return orders.EngineReport(
                weights={m["name"]: m["version"] for m in body["models"]},
                # Orders, unlike the field of this name in the list.
                orders_accepted=body["seq"],
                busy=bool(body["busy"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise exceptions.BackendUnreachable(
                f"the report is broken: {error}"
            ) from error

    async def order_weights(
        self, server: topology.Server, order: orders.WeightsOrder
    ) -> None:
        """Order new weights."""
        status, _ = await self._call(
            server,
            "POST",
            "/order",
            {
                "op": "version",
                "model": order.model,
                "version": order.version,
                "manner": _CONTINUE_RUNS,
                "holder": order.holder,
                "fence_token": order.fencing_token,
                "expected": order.orders_accepted,
            },
        )
        if status not in _ACCEPTED:
            raise exceptions.OrderRefused(f"the engine answered {status}")

    async def _call(
        self,
        server: topology.Server,
        method: str,
        path: str,
        body: t.Optional[t.Mapping[str, t.Any]],
    ) -> t.Tuple[int, t.Any]:
        headers = {wire.EXPECTED_SERVER: server.id}
        if body is not None:
            headers["Content-Type"] = wire.CONTENT_TYPE
        try:
            async with self.session.request(
                method,
                f"http://{server.address}{path}",
                data=None if body is None else wire.encode(body),
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=CALL_SECONDS, sock_connect=CONNECT_SECONDS
                ),
            ) as response:
                data = await response.read()
                decoded = wire.decode(data) if response.status == 200 else None
                return response.status, decoded
        except transport.CALL_ERRORS as error:
            raise exceptions.BackendUnreachable(
                transport.describe(error)
            ) from error
