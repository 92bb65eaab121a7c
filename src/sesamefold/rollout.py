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

# Timeout of one status call to a control daemon.
CALL_TIMEOUT_SECONDS = 5.0
# Between two polls of the status.
POLL_INTERVAL_SECONDS = 0.25


@attrs.frozen
class Progress:
    """Progress of a revision in one data centre.

    `hosts` is the number of hosts that are reachable, `behind` names those of
    them on which an older revision is in force. `seconds` is the time from
    the edit until the revision was first seen to be in force on all of them,
    and None before.
    """

    name: str
    reachable: bool
    hosts: int = 0
    behind: t.Tuple[str, ...] = ()
    unreachable_hosts: t.Tuple[str, ...] = ()
    seconds: t.Optional[float] = None

    @property
    def done(self) -> bool:
        """Return whether the revision is in force on all reachable hosts."""
        return self.seconds is not None


async def _fetch_status_from(
    address: str, deadline: deadlines.Deadline
) -> control_pb2.Status:
    async with grpc.aio.insecure_channel(address) as channel:
        return await control_pb2_grpc.ControlStub(channel).GetStatus(
            control_pb2.GetStatusRequest(whole=True),
            timeout=min(CALL_TIMEOUT_SECONDS, max(0.1, deadline.remaining())),
        )


async def _fetch_first_status(
    addresses: t.Sequence[str], deadline: deadlines.Deadline
) -> t.Tuple[str, control_pb2.Status]:
    """Return the address of the first daemon that answers, and its status."""
    reasons = []
    for address in addresses:
        try:
            return address, await _fetch_status_from(address, deadline)
        except grpc.aio.AioRpcError as error:
            reasons.append(f"{address}: {error.code().name}")
    raise exceptions.ControlUnavailable(
        "no control daemon answered: " + ", ".join(reasons)
    )


async def fetch_status(
    addresses: t.Sequence[str], deadline: deadlines.Deadline
) -> control_pb2.Status:
    """Return the status of all data centres.

    It comes from the first control daemon that answers. Raises
    `exceptions.ControlUnavailable` when none does.
    """
    return (await _fetch_first_status(addresses, deadline))[1]


def _make_progress(
    centre: control_pb2.DataCentreStatus, revision: int, seconds: float
) -> Progress:
    reached = [host for host in centre.hosts if host.reachable]
    behind = [host.member.name for host in reached if host.revision < revision]
    reachable = centre.reachable and bool(reached)
    return Progress(
        centre.name,
        reachable,
        len(reached),
        tuple(sorted(behind)),
        tuple(
            sorted(
                host.member.name for host in centre.hosts if not host.reachable
            )
        ),
        seconds if reachable and not behind else None,
    )


async def follow(
    addresses: t.Sequence[str],
    revision: int,
    data_centres: t.Iterable[str],
    edited_at: float,
    deadline: deadlines.Deadline,
) -> t.AsyncIterator[Progress]:
    """Yield the progress of each data centre once.

    It is yielded when the revision is in force there, or else at the
    deadline. `edited_at` is the time of the edit by `time.monotonic`. A data
    centre that the status does not contain counts as not reachable.
    """
    ordered_addresses = list(addresses)
    pending = {name: Progress(name, False) for name in data_centres}
    done: t.Set[str] = set()
    is_first_poll = True
    while pending or is_first_poll:
        is_first_poll = False
        try:
            address, status = await _fetch_first_status(
                ordered_addresses, deadline
            )
            # The daemon that answered goes first, because one that does not
            # answer would delay each poll.
            ordered_addresses.sort(key=lambda candidate: candidate != address)
        except exceptions.ControlUnavailable:
            status = control_pb2.Status()
        seconds = time.monotonic() - edited_at
        for centre in status.data_centres:
            if centre.name in done:
                continue
            progress = _make_progress(centre, revision, seconds)
            pending[centre.name] = progress
            if progress.done:
                done.add(centre.name)
                yield pending.pop(centre.name)
        if deadline.remaining() <= POLL_INTERVAL_SECONDS:
            break
        if pending:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
    for progress in pending.values():
        yield progress
