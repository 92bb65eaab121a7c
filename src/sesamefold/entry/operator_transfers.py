"""HTTP transfer of the operator's records between entry hosts."""

import math
import typing as t

import aiohttp
from aiohttp import web
import attrs

from sesamefold.entry import catalog as catalogs
from sesamefold.entry import clock
from sesamefold.entry import datagrams
from sesamefold.entry import operator_records
from sesamefold.entry import operator_relay
from sesamefold import exceptions
from sesamefold import transport

PATH = "/operator-records"
# Query parameter with the revision up to which the caller has all records.
AFTER_PARAMETER = "after"
# Headers of an answer: the revision up to which the records are complete, and
# the age of their confirmation in seconds.
REVISION_HEADER = "Records-Revision"
AGE_HEADER = "Confirmation-Age"
# Answers that a host sends at the same time. More would share its link, and
# all of them would be late.
MAX_TRANSFERS = 8
CONNECT_TIMEOUT_SECONDS = 0.3
# Time without any byte of an answer after which a fetch fails.
SILENCE_TIMEOUT_SECONDS = 0.7
# Longest time of a fetch.
FETCH_TIMEOUT_SECONDS = 10.0


@attrs.define
class TransferServer:
    """Answers the fetches of other hosts."""

    records: operator_records.OperatorRecords
    catalog: catalogs.Catalog
    read_time: t.Callable[[], float] = clock.read_time
    _in_progress: int = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with the records that changed after a revision.

        The status is 503 if there are none yet or if too many hosts fetch.
        """
        if request.method != "GET" or request.path != PATH:
            return web.Response(status=404)
        try:
            after = int(request.query[AFTER_PARAMETER])
        except (KeyError, ValueError):
            return web.Response(status=400)
        age = self.read_time() - self.catalog.confirmed_at
        if (
            not self.records.as_of
            or not math.isfinite(age)
            or self._in_progress >= MAX_TRANSFERS
        ):
            return web.Response(status=503)
        self._in_progress += 1
        try:
            body = self.records.encode_changes(after)
            response = web.Response(
                body=body,
                headers={
                    REVISION_HEADER: str(self.records.as_of),
                    AGE_HEADER: repr(age),
                },
            )
            await response.prepare(request)
            await response.write_eof()
            return response
        finally:
            self._in_progress -= 1


@attrs.define
class TransferClient:
    """Fetches from other hosts; implements `operator_relay.RecordTransfers`.

    The session is one of `transport.make_session`.
    """

    session: aiohttp.ClientSession

    async def fetch(
        self, address: datagrams.Address, after: int
    ) -> operator_relay.Received:
        """Return the records of a host that changed after a revision.

        Raises `exceptions.PlatformUnavailable`.
        """
        host, port = address
        try:
            async with self.session.get(
                f"http://{host}:{port}{PATH}",
                params={AFTER_PARAMETER: str(after)},
                timeout=aiohttp.ClientTimeout(
                    total=FETCH_TIMEOUT_SECONDS,
                    sock_connect=CONNECT_TIMEOUT_SECONDS,
                    sock_read=SILENCE_TIMEOUT_SECONDS,
                ),
            ) as response:
                if response.status != 200:
                    raise exceptions.PlatformUnavailable(
                        f"{host} answered {response.status}"
                    )
                data = await transport.read_body(response)
                return _decode_answer(response.headers, data)
        except transport.CALL_ERRORS as error:
            raise exceptions.PlatformUnavailable(
                f"{host}: {transport.describe_error(error)}"
            ) from error


def _decode_answer(
    headers: t.Mapping[str, str], data: bytes
) -> operator_relay.Received:
    """Return the records of an answer; raises `ValueError` or `KeyError`."""
    age = float(headers[AGE_HEADER])
    if not 0 <= age < math.inf:
        raise ValueError("the age is out of range")
    return operator_relay.Received(
        operator_records.decode_record_set(
            int(headers[REVISION_HEADER]), data
        ),
        age,
    )
