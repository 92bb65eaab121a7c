"""A non-idempotent request that ran is answered 503, and runs once more.

One of eight servers fails a part of its requests after it has run them, with
status 503 and without `Sesamefold-Not-Executed`. The entry host passes this
status on, which promises the client that the request has not run.
"""

import asyncio
import collections
import pathlib
import sys
import typing as t

import aiohttp
from aiohttp import web

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness3  # noqa: E402
from standins import platform_fixtures  # noqa: E402

HOSTS = 2
SERVERS = 8
# One server of eight fails this share of its requests.
FAILING_SHARE = 0.45
ORDERS = 400
ORDERS_PER_SECOND = 40
DEADLINE_MS = 1500
WORK_SECONDS = 0.015
PROMISES = (408, 421, 429, 503)


class Ledger:
    """The servers of a service that records orders, and what they ran."""

    def __init__(self, case: harness3.Case) -> None:
        self.case = case
        self.runs: t.Counter[str] = collections.Counter()
        self.orders: t.Counter[str] = collections.Counter()
        self.arrivals = 0

    async def handle(
        self, number: int, request: web.BaseRequest
    ) -> web.Response:
        """Run a request, and fail afterwards if it is this server's turn."""
        request_id = request.headers["Sesamefold-Request-Id"]
        if request.headers["Sesamefold-Expect-Instance"] != f"i-{number}":
            return web.Response(
                status=421, headers={"Sesamefold-Request-Id": request_id}
            )
        order = (await request.read()).decode()
        await asyncio.sleep(WORK_SECONDS)
        self.runs[request_id] += 1
        self.orders[order] += 1
        status, text = 200, f"recorded {order}"
        if number == 0 and self.case.trouble:
            before = int(self.arrivals * FAILING_SHARE)
            self.arrivals += 1
            if int(self.arrivals * FAILING_SHARE) > before:
                status, text = 503, "the receipt could not be made"
        self.case.record(
            f"i-{number} ran {request_id} ({order}) and answered {status}"
        )
        return web.Response(
            status=status,
            headers={
                "Sesamefold-Request-Id": request_id,
                "Sesamefold-Response-Seal": "3e1b.07.5a2",
            },
            text=text,
        )


async def send_order(
    case: harness3.Case,
    session: aiohttp.ClientSession,
    number: int,
    answers: t.Dict[str, int],
) -> None:
    """Send an order and, after a promise that it has not run, once more."""
    order = f"order-{number}"
    for attempt in (1, 2):
        request_id = f"{number:06x}{attempt:02x}"
        entry = case.entries[(number + attempt) % len(case.entries)]
        try:
            async with session.post(
                f"http://{entry.ip}:{entry.front}/unsafe/orders",
                headers=harness3.make_headers(request_id, DEADLINE_MS),
                data=order.encode(),
            ) as response:
                await response.read()
                status = response.status
        except aiohttp.ClientError as error:
            case.record(f"client: {request_id} got {error!r}")
            return
        answers[request_id] = status
        case.record(f"client: {request_id} ({order}) got {status}")
        if status not in PROMISES:
            return


async def play(case: harness3.Case) -> int:
    """Play the case and return its exit code."""
    ledger = Ledger(case)
    for number in range(SERVERS):

        async def handle(
            request: web.BaseRequest, number: int = number
        ) -> web.Response:
            return await ledger.handle(number, request)

        address = await platform_fixtures.start_server(case.stack, handle)
        case.store.put(
            f"servers/i-{number}", platform_fixtures.make_server_entry(address)
        )
    configuration = platform_fixtures.make_configuration()
    case.store.put("op/config", configuration)
    await case.start_entries(HOSTS)
    answers: t.Dict[str, int] = {}
    async with case.make_session() as session:
        clients = []
        for number in range(ORDERS):
            clients.append(
                asyncio.create_task(send_order(case, session, number, answers))
            )
            await asyncio.sleep(1.0 / ORDERS_PER_SECOND)
        await asyncio.gather(*clients)
    untrue = [
        request_id
        for request_id, status in answers.items()
        if status in PROMISES and ledger.runs[request_id]
    ]
    doubled = [order for order, runs in ledger.orders.items() if runs > 1]
    case.record(
        f"{len(answers)} requests, {len(untrue)} of them answered with a "
        f"promise though they had run; {len(doubled)} orders recorded twice"
    )
    served = sum(status == 200 for status in answers.values())
    if served < ORDERS / 2:
        raise harness3.CaseFailed("most orders were not served")
    return harness3.BROKEN if untrue else harness3.HELD


if __name__ == "__main__":
    harness3.main(__file__, play)
