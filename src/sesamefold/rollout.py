"""Progress of a revision through the data centres."""

import asyncio
import time
import typing as t

import attrs
import grpc
import grpc.aio

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold.wire import control_pb2
from sesamefold.wire import control_pb2_grpc

CALL_TIMEOUT_SECONDS = 5.0
POLL_INTERVAL_SECONDS = 0.25


@attrs.frozen
class Progress:
    """Hosts of a data centre by whether a revision is in force there.

    `seconds` is the time from the edit until a data centre was first seen
    to be `done`; it is None before.
    """

    name: str
    reachable: bool
    hosts: int = 0
    behind: t.Tuple[str, ...] = ()
    unreachable_hosts: t.Tuple[str, ...] = ()
    seconds: t.Optional[float] = None

    @property
    def done(self) -> bool:
        """Tell whether the revision is in force on all hosts reached."""
        return self.seconds is not None


async def _ask(
    address: str, deadline: deadlines.Deadline
) -> control_pb2.Status:
    async with grpc.aio.insecure_channel(address) as channel:
        return await control_pb2_grpc.ControlStub(channel).GetStatus(
            control_pb2.GetStatusRequest(whole=True),
            timeout=min(CALL_TIMEOUT_SECONDS, max(0.1, deadline.remaining())),
        )


async def _ask_any(
    addresses: t.Sequence[str], deadline: deadlines.Deadline
) -> t.Tuple[str, control_pb2.Status]:
    """Return the first status and the address that it came from."""
    reasons = []
    for address in addresses:
        try:
            return address, await _ask(address, deadline)
        except grpc.aio.AioRpcError as error:
            reasons.append(f"{address}: {error.code().name}")
    raise exceptions.ControlUnavailable(
        "no control daemon answered: " + ", ".join(reasons)
    )


async def fetch_status(
    addresses: t.Sequence[str], deadline: deadlines.Deadline
) -> control_pb2.Status:
    """Return the status of all data centres from the first that answers.

    Raises `exceptions.ControlUnavailable` when none of the control daemons
    answers.
    """
    return (await _ask_any(addresses, deadline))[1]


def _measure(
    found: control_pb2.DataCentreStatus, revision: int, seconds: float
) -> Progress:
    reached = [host for host in found.hosts if host.reachable]
    behind = [h.member.name for h in reached if h.revision < revision]
    reachable = found.reachable and bool(reached)
    return Progress(
        found.name,
        reachable,
        len(reached),
        tuple(sorted(behind)),
        tuple(sorted(h.member.name for h in found.hosts if not h.reachable)),
        seconds if reachable and not behind else None,
    )


async def follow(
    addresses: t.Sequence[str],
    revision: int,
    data_centres: t.Iterable[str],
    started: float,
    deadline: deadlines.Deadline,
) -> t.AsyncIterator[Progress]:
    """Yield each data centre once: when it is done, or at the deadline.

    `started` is the time of the edit by `time.monotonic`. A data centre that
    the status does not contain counts as not reachable.
    """
    order = list(addresses)
    waiting = {name: Progress(name, False) for name in data_centres}
    done: t.Set[str] = set()
    first = True
    while waiting or first:
        first = False
        try:
            address, status = await _ask_any(order, deadline)
            # A daemon that does not answer would delay each poll.
            order.sort(key=lambda other: other != address)
        except exceptions.ControlUnavailable:
            status = control_pb2.Status()
        seconds = time.monotonic() - started
        for found in status.data_centres:
            if found.name in done:
                continue
            progress = _measure(found, revision, seconds)
            waiting[found.name] = progress
            if progress.done:
                done.add(found.name)
                yield waiting.pop(found.name)
        if deadline.remaining() <= POLL_INTERVAL_SECONDS:
            break
        if waiting:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
    for progress in waiting.values():
        yield progress
