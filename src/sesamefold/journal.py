"""Intents and outcomes of non-idempotent calls."""

import asyncio
import collections
import time
import typing as t

import grpc
import logbook

from sesamefold import buckets
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold import expiry
from sesamefold import journal_changes
from sesamefold import keyvalue
from sesamefold import peers as peers_module
from sesamefold import records
from sesamefold import rendezvous
from sesamefold.wire import control_pb2

_log = logbook.Logger(__name__)

PREFIX = expiry.PREFIX

# Messages of EXPIRED replies. A call with an old key may have run before; a
# key from the future is refused by every control, so its call has not run.
KEY_OLD = "the Idempotency-Key is older than 24 hours"
KEY_FUTURE = "the Idempotency-Key is from the future"

# Bounds of one begin and one finish, seconds. A begin that is not decided by
# then is refused, which also bounds how late a paused writer answers RUN.
BEGIN_SECONDS = 4.0
FINISH_SECONDS = 30.0
# Time that the shard's owner gets before a control writes by itself, seconds.
FORWARD_SECONDS = 1.0
# An owner that did not answer is not asked again for this long, seconds;
# otherwise each call of its shard would wait for FORWARD_SECONDS.
OWNER_RETRY_SECONDS = 2.0

# Refusals of an owner that another control would repeat. After any other
# error of the owner the control writes by itself.
_FINAL_ERRORS: t.Dict[int, t.Type[exceptions.SesamefoldError]] = {
    error.code: error
    for error in (exceptions.KeyMalformed, exceptions.JournalFull)
}


class Journal:
    """Decides whether a non-idempotent call may run.

    An intent is recorded by compare-and-swap on its bucket before the answer
    RUN is given, so two attempts of one key never both get RUN, whichever
    controls write. Ownership of a shard only lets calls share writes.

    `clock` returns Unix seconds. `stop` ends the tasks of the journal.
    """

    def __init__(
        self,
        service: keyvalue.KeyValue,
        peers: peers_module.Peers,
        *,
        clock: t.Callable[[], float] = time.time,
        write_interval: float = defaults.JOURNAL_WRITE_INTERVAL,
        forward_seconds: float = FORWARD_SECONDS,
    ) -> None:
        self._keyvalue = service
        self._peers = peers
        self._clock = clock
        self._forward_seconds = forward_seconds
        self._buckets = buckets.Buckets(service, clock, write_interval)
        self._silent_owners: t.Dict[str, float] = {}
        # Attempts that this control was asked for, with the instant after
        # which they are forgotten. A second begin of one attempt never runs.
        self._attempts: "collections.OrderedDict[bytes, float]" = (
            collections.OrderedDict()
        )

    async def begin(
        self, request: control_pb2.BeginCallRequest
    ) -> control_pb2.BeginCallReply:
        """Record the intent of a call and decide whether it may run.

        Each attempt gets RUN at most once. Raises
        `exceptions.JournalUnavailable` when the intent is not known to be
        recorded by the deadline, `exceptions.JournalFull` and
        `exceptions.KeyMalformed`; the call must not run then.
        """
        key = records.parse_key(request.key)
        now = self._clock()
        age = now - records.read_issue_time(key)
        if age >= defaults.JOURNAL_KEY_SECONDS:
            return journal_changes.make_reply(
                journal_changes.EXPIRED, message=KEY_OLD
            )
        if age < -defaults.JOURNAL_FUTURE_SECONDS:
            return journal_changes.make_reply(
                journal_changes.EXPIRED, message=KEY_FUTURE
            )
        deadline = now + BEGIN_SECONDS
        if request.deadline:
            deadline = min(deadline, request.deadline)
        change = journal_changes.Begin(
            records.identify(request.customer, key),
            records.digest(request.attempt.encode()),
            asyncio.get_running_loop().create_future(),
            request=records.digest(request.fingerprint),
        )
        if not request.forwarded and not self._register(change, now):
            return journal_changes.make_reply(journal_changes.UNKNOWN)
        bucket_key, shard = records.locate(key, change.id)
        try:
            reply = None
            owner = self._choose_owner(shard, request.forwarded)
            if owner is not None:
                reply = await self._forward_begin(
                    owner, request, change, deadline
                )
            if reply is None:
                reply = await self._buckets.submit(
                    bucket_key, shard, change, deadline
                )
            if (
                reply.decision == journal_changes.RUN
                and self._clock() >= deadline
            ):
                raise exceptions.JournalUnavailable(
                    "the intent was recorded after the deadline"
                )
        except BaseException:
            # Only the control that answers the caller may withdraw: an owner
            # cannot know whether the control that forwarded the begin has
            # found the record and answered RUN.
            if (
                change.may_be_recorded
                and not request.forwarded
                and not self._buckets.stopped
            ):
                self._buckets.start(self._withdraw(request))
            raise
        return reply

    async def finish(
        self, request: control_pb2.FinishCallRequest
    ) -> control_pb2.Empty:
        """Record the outcome of a call, or that it did not run.

        Has no effect unless the request's attempt has started the call.
        Raises `exceptions.JournalUnavailable`.
        """
        key = records.parse_key(request.key)
        change = journal_changes.Finish(
            records.identify(request.customer, key),
            records.digest(request.attempt.encode()),
            asyncio.get_running_loop().create_future(),
            outcome=None if request.not_run else request.outcome,
        )
        bucket_key, shard = records.locate(key, change.id)
        owner = self._choose_owner(shard, request.forwarded)
        if owner is not None:
            forwarded = control_pb2.FinishCallRequest()
            forwarded.CopyFrom(request)
            forwarded.forwarded = True
            reply = await self._call_owner(
                owner, "FinishCall", forwarded, self._forward_seconds
            )
            if reply is not None:
                return reply
        return await self._buckets.submit(
            bucket_key, shard, change, self._clock() + FINISH_SECONDS
        )

    async def delete_expired(self) -> int:
        """Delete buckets of hours that ended over 25 h ago.

        Returns how many were deleted. To be called every few minutes by each
        control; only one of them, by rendezvous hashing over the entry hosts,
        does the work. Raises `exceptions.PlatformError`.
        """
        hosts = self._peers.list_entry_hosts()
        owner = rendezvous.choose_owner(PREFIX, hosts)
        if owner != self._peers.name:
            return 0
        return await expiry.delete_expired(self._keyvalue, self._clock())

    async def stop(self) -> None:
        """Write what waits, for a bounded time, and end all tasks."""
        await self._buckets.stop()

    def _register(self, change: journal_changes.Change, now: float) -> bool:
        """Tell whether this control sees an attempt for the first time."""
        while self._attempts:
            oldest, until = next(iter(self._attempts.items()))
            if until > now:
                break
            del self._attempts[oldest]
        attempt = change.id + change.attempt
        if attempt in self._attempts:
            return False
        self._attempts[attempt] = now + defaults.REQUEST_SECONDS
        return True

    def _choose_owner(self, shard: int, forwarded: bool) -> t.Optional[str]:
        """Return the entry host to forward to, None to write here."""
        if forwarded:
            return None
        owner = rendezvous.choose_owner(
            f"{PREFIX}{shard}", self._peers.list_entry_hosts()
        )
        if owner is None or owner == self._peers.name:
            return None
        if self._silent_owners.get(owner, 0.0) > self._clock():
            return None
        return owner

    async def _forward_begin(
        self,
        owner: str,
        request: control_pb2.BeginCallRequest,
        change: journal_changes.Begin,
        deadline: float,
    ) -> t.Optional[control_pb2.BeginCallReply]:
        """Return the owner's reply, None when this control has to write.

        The owner may have recorded the intent without its reply arriving;
        `change.may_be_recorded` lets the write of this control find it.
        """
        now = self._clock()
        # Half of the time stays for the write of this control.
        seconds = min(self._forward_seconds, (deadline - now) / 2)
        forwarded = control_pb2.BeginCallRequest()
        forwarded.CopyFrom(request)
        forwarded.forwarded = True
        forwarded.deadline = now + seconds
        change.may_be_recorded = True
        return await self._call_owner(owner, "BeginCall", forwarded, seconds)

    async def _call_owner(
        self, owner: str, method: str, request: t.Any, seconds: float
    ) -> t.Any:
        """Return the owner's reply, None when it has not decided."""
        if seconds <= 0.0:
            return None
        try:
            stub = self._peers.get_stub(owner)
            async with asyncio.timeout(seconds):
                reply = await getattr(stub, method)(request, timeout=seconds)
            self._silent_owners.pop(owner, None)
            return reply
        except grpc.RpcError as error:
            code, _, message = (error.details() or "").partition(": ")
            if code.isdecimal() and int(code) in _FINAL_ERRORS:
                raise _FINAL_ERRORS[int(code)](message) from error
            reason = repr(error.code())
        except (exceptions.ControlUnavailable, TimeoutError) as error:
            reason = repr(error)
        self._silent_owners[owner] = self._clock() + OWNER_RETRY_SECONDS
        _log.warning(f"{method} at the shard's owner {owner} failed: {reason}")
        return None

    async def _withdraw(self, request: control_pb2.BeginCallRequest) -> None:
        """Mark an attempt that was refused by this control as not run.

        A write of the owner that was under way may still take effect, hence
        the second round.
        """
        finish = control_pb2.FinishCallRequest(
            customer=request.customer,
            key=request.key,
            attempt=request.attempt,
            not_run=True,
        )
        for pause in (0.0, defaults.PLATFORM_TIMEOUT):
            await asyncio.sleep(pause)
            try:
                await self.finish(finish)
            except exceptions.SesamefoldError as error:
                _log.warning(f"a refused call may stay started: {error}")
