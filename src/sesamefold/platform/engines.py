"""Client of the engines' interface for reports and orders."""

import typing as t

import aiohttp
import attrs

from sesamefold.entry import orders
from sesamefold.entry import topology
from sesamefold import exceptions
from sesamefold.platform import wire
from sesamefold import transport

# Engines answer calls at once, also those that order to load weights.
CALL_TIMEOUT_SECONDS = 0.5
CONNECT_TIMEOUT_SECONDS = 0.4
# Requests in progress continue under the new weights. Waiting for them to
# finish would leave the engine idle for as long as the longest one takes.
_CONTINUE_REQUESTS = "retain"
_ACCEPTED_STATUSES = (200, 202)


@attrs.define
class EngineClient:
    """Client of the engines; implements `orders.EngineControl`."""

    session: aiohttp.ClientSession

    async def read_report(
        self, server: topology.Server
    ) -> orders.EngineReport:
        """Return an engine's report of its own state.

        Raises `exceptions.BackendUnreachable` if the engine does not answer in
        time or its report is malformed.
        """
        status, body = await self._call(server, "GET", "/report", None)
        try:
            if status != 200:
                raise ValueError(f"status {status}")
            return orders.EngineReport(
                weights={
                    wire.get_field(model, "name", str): wire.get_count(
                        model, "version"
                    )
                    for model in wire.get_field(body, "models", list)
                },
                # Counts accepted orders; in the servers' records the field of
                # this name counts reports.
                orders_accepted=wire.get_count(body, "seq"),
                busy=wire.get_field(body, "busy", bool),
                started_at=(
                    wire.get_field(body, "born", int)
                    if "born" in body
                    else None
                ),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise exceptions.BackendUnreachable(
                f"malformed report: {error}"
            ) from error

    async def order_weights(
        self, server: topology.Server, order: orders.WeightsOrder
    ) -> None:
        """Order an engine to load weights.

        Raises `exceptions.OrderRefused` and `exceptions.BackendUnreachable`.
        """
        status, _ = await self._call(
            server,
            "POST",
            "/order",
            {
                "op": "version",
                "model": order.model,
                "version": order.version,
                "manner": _CONTINUE_REQUESTS,
                "holder": order.holder,
                "fence_token": order.fencing_token,
                "expected": order.orders_accepted,
            },
        )
        if status not in _ACCEPTED_STATUSES:
            raise exceptions.OrderRefused(f"the engine answered {status}")

    async def _call(
        self,
        server: topology.Server,
        method: str,
        path: str,
        body: t.Optional[t.Mapping[str, t.Any]],
    ) -> t.Tuple[int, t.Any]:
        """Return the status of a call, and the body if the status is 200.

        Raises `exceptions.BackendUnreachable`.
        """
        headers = {wire.EXPECTED_SERVER: server.id}
        if body is not None:
            headers["Content-Type"] = wire.JSON_CONTENT_TYPE
        try:
            async with self.session.request(
                method,
                f"http://{server.address}{path}",
                data=None if body is None else wire.encode(body),
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=CALL_TIMEOUT_SECONDS,
                    sock_connect=CONNECT_TIMEOUT_SECONDS,
                ),
            ) as response:
                data = await transport.read_body(response)
                decoded = wire.decode(data) if response.status == 200 else None
                return response.status, decoded
        except transport.CALL_ERRORS as error:
            raise exceptions.BackendUnreachable(
                transport.describe_error(error)
            ) from error
