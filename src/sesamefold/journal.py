"""Journal of the intents and outcomes of non-idempotent calls."""

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

KEY_PREFIX = expiry.PREFIX

# Message of an EXPIRED reply to a call that may have run before.
KEY_EXPIRED_MESSAGE = "the Idempotency-Key is older than 24 hours"
# Message of an EXPIRED reply to a call that has not run, because each control
# refuses a key from the future.
KEY_IN_FUTURE_MESSAGE = "the Idempotency-Key is from the future"

# A begin that is not decided within this time is refused. The limit also
# bounds how late a paused writer can answer RUN.
BEGIN_TIMEOUT_SECONDS = 4.0
# A finish that is not recorded within this time fails.
FINISH_TIMEOUT_SECONDS = 30.0
# Timeout of a call to the owner of a shard. After it a control writes the
# record itself.
FORWARD_TIMEOUT_SECONDS = 1.0
# No calls are forwarded to an owner for this long after it did not answer.
# Otherwise each call of its shard would wait for FORWARD_TIMEOUT_SECONDS.
OWNER_SKIP_SECONDS = 2.0

# Errors of an owner that are returned to the caller, by code, because each
# control would refuse the call for the same reason. After any other error of
# the owner the control writes the record itself.
_FINAL_ERRORS: t.Dict[int, t.Type[exceptions.SesamefoldError]] = {
    error.code: error
    for error in (exceptions.KeyMalformed, exceptions.JournalFull)
}


class Journal:
    """Decides whether a non-idempotent call may run.

    An intent is recorded by compare-and-swap on its bucket before RUN is
    answered, so two attempts with one key never both get RUN, whichever
    controls write. Safety does not depend on the ownership of shards, which
    only lets calls share writes.

    `clock` returns Unix seconds. `write_interval_seconds` is the shortest
    time between two writes of one bucket, `forward_timeout_seconds` the
    timeout of a call to the owner of a shard. `stop` ends the tasks of the
    journal.
    """

    def __init__(
        self,
        service: keyvalue.KeyValue,
        peers: peers_module.Peers,
        *,
        clock: t.Callable[[], float] = time.time,
        write_interval_seconds: float = defaults.JOURNAL_WRITE_INTERVAL,
        forward_timeout_seconds: float = FORWARD_TIMEOUT_SECONDS,
    ) -> None:
        self._keyvalue = service
        self._peers = peers
        self._clock = clock
        self._forward_timeout_seconds = forward_timeout_seconds
        self._bucket_writer = buckets.BucketWriter(
            service, clock, write_interval_seconds
        )
        # Owners that did not answer, with the Unix time until which no call is
        # forwarded to them.
        self._unresponsive_owners: t.Dict[str, float] = {}
        # Attempts whose begin reached this control, with the Unix time at
        # which they are dropped. A second begin of one attempt never runs.
        self._attempts: "collections.OrderedDict[bytes, float]" = (
            collections.OrderedDict()
        )

    async def begin(
        self, request: control_pb2.BeginCallRequest
    ) -> control_pb2.BeginCallReply:
        """Record the intent of a call and decide whether it may run.

        Each attempt gets RUN at most once. Raises `exceptions.KeyMalformed`,
        `exceptions.JournalFull`, and `exceptions.JournalUnavailable` when the
        intent is not known to be recorded by the deadline. The call must not
        run after an error.
        """
        key = records.parse_key(request.key)
        now = self._clock()
        age = now - records.read_issue_time(key)
        if age >= defaults.JOURNAL_KEY_SECONDS:
            return journal_changes.make_reply(
                journal_changes.EXPIRED, message=KEY_EXPIRED_MESSAGE
            )
        if age < -defaults.JOURNAL_FUTURE_SECONDS:
            return journal_changes.make_reply(
                journal_changes.EXPIRED, message=KEY_IN_FUTURE_MESSAGE
            )
        deadline = now + BEGIN_TIMEOUT_SECONDS
        if request.deadline:
            deadline = min(deadline, request.deadline)
        change = journal_changes.Begin(
            records.compute_call_id(request.customer, key),
            records.compute_digest(request.attempt.encode()),
            asyncio.get_running_loop().create_future(),
            request=records.compute_digest(request.fingerprint),
        )
        if not request.forwarded and not self._register_attempt(change, now):
            return journal_changes.make_reply(journal_changes.UNKNOWN)
        bucket_key, shard = records.locate_bucket(key, change.id)
        try:
            reply = None
            owner = self._choose_forward_target(shard, request.forwarded)
            if owner is not None:
                reply = await self._forward_begin(
                    owner, request, change, deadline
                )
            if reply is None:
                reply = await self._bucket_writer.submit(
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
            # Only the control that answers the caller may withdraw the
            # attempt. An owner cannot know whether the control that forwarded
            # the begin has found the record and answered RUN.
            if (
                change.may_be_recorded
                and not request.forwarded
                and not self._bucket_writer.stopped
            ):
                self._bucket_writer.start_task(self._withdraw_attempt(request))
            raise
        return reply

    async def finish(
        self, request: control_pb2.FinishCallRequest
    ) -> control_pb2.Empty:
        """Record the outcome of a call, or that it did not run.

        Has no effect unless the attempt of the request started the call.
        Raises `exceptions.KeyMalformed`, and `exceptions.JournalUnavailable`
        when the outcome is not known to be recorded within
        FINISH_TIMEOUT_SECONDS.
        """
        key = records.parse_key(request.key)
        change = journal_changes.Finish(
            records.compute_call_id(request.customer, key),
            records.compute_digest(request.attempt.encode()),
            asyncio.get_running_loop().create_future(),
            outcome=None if request.not_run else request.outcome,
        )
        bucket_key, shard = records.locate_bucket(key, change.id)
        owner = self._choose_forward_target(shard, request.forwarded)
        if owner is not None:
            forwarded = control_pb2.FinishCallRequest()
            forwarded.CopyFrom(request)
            forwarded.forwarded = True
            reply = await self._call_owner(
                owner, "FinishCall", forwarded, self._forward_timeout_seconds
            )
            if reply is not None:
                return reply
        return await self._bucket_writer.submit(
            bucket_key, shard, change, self._clock() + FINISH_TIMEOUT_SECONDS
        )

    async def delete_expired(self) -> int:
        """Delete buckets of hours that ended over 25 h ago; return how many.

        Each control calls this every few minutes, but only the one that
        rendezvous hashing over the entry hosts chooses deletes buckets.
        Raises `exceptions.PlatformError`.
        """
        hosts = self._peers.list_entry_hosts()
        owner = rendezvous.choose_owner(KEY_PREFIX, hosts)
        if owner != self._peers.name:
            return 0
        return await expiry.delete_expired(self._keyvalue, self._clock())

    async def stop(self) -> None:
        """Write pending changes and end all tasks.

        Takes PLATFORM_TIMEOUT at most; changes that are not written by then
        are dropped.
        """
        await self._bucket_writer.stop()

    def _register_attempt(
        self, change: journal_changes.Change, now: float
    ) -> bool:
        """Return whether the attempt of a change was new, and remember it."""
        while self._attempts:
            oldest, drop_time = next(iter(self._attempts.items()))
            if drop_time > now:
                break
            del self._attempts[oldest]
        attempt = change.id + change.attempt
        if attempt in self._attempts:
            return False
        self._attempts[attempt] = now + defaults.REQUEST_SECONDS
        return True

    def _choose_forward_target(
        self, shard: int, forwarded: bool
    ) -> t.Optional[str]:
        """Return the entry host to forward a call to.

        Returns None when this control has to write the record, because the
        call was forwarded to it, it owns the shard, no owner is known or the
        owner did not answer recently.
        """
        if forwarded:
            return None
        owner = rendezvous.choose_owner(
            f"{KEY_PREFIX}{shard}", self._peers.list_entry_hosts()
        )
        if owner is None or owner == self._peers.name:
            return None
        if self._unresponsive_owners.get(owner, 0.0) > self._clock():
            return None
        return owner

    async def _forward_begin(
        self,
        owner: str,
        request: control_pb2.BeginCallRequest,
        change: journal_changes.Begin,
        deadline: float,
    ) -> t.Optional[control_pb2.BeginCallReply]:
        """Return the owner's reply to a begin, None without a decision.

        The owner may have recorded the intent although its reply was lost.
        `change.may_be_recorded` is set so that the write of this control
        recognises such a record as its own. Raises the owner's error when it
        is one of `_FINAL_ERRORS`.
        """
        now = self._clock()
        # Leave half of the remaining time for a write by this control.
        seconds = min(self._forward_timeout_seconds, (deadline - now) / 2)
        forwarded = control_pb2.BeginCallRequest()
        forwarded.CopyFrom(request)
        forwarded.forwarded = True
        forwarded.deadline = now + seconds
        change.may_be_recorded = True
        return await self._call_owner(owner, "BeginCall", forwarded, seconds)

    async def _call_owner(
        self, owner: str, method: str, request: t.Any, seconds: float
    ) -> t.Any:
        """Return the owner's reply to a method, None without a decision.

        Raises the owner's error when it is one of `_FINAL_ERRORS`.
        """
        if seconds <= 0.0:
            return None
        try:
            stub = self._peers.get_stub(owner)
            async with asyncio.timeout(seconds):
                reply = await getattr(stub, method)(request, timeout=seconds)
            self._unresponsive_owners.pop(owner, None)
            return reply
        except grpc.RpcError as error:
            code, _, message = (error.details() or "").partition(": ")
            if code.isdecimal() and int(code) in _FINAL_ERRORS:
                raise _FINAL_ERRORS[int(code)](message) from error
            reason = repr(error.code())
        except (exceptions.ControlUnavailable, TimeoutError) as error:
            reason = repr(error)
        self._unresponsive_owners[owner] = self._clock() + OWNER_SKIP_SECONDS
        _log.warning(f"{method} call to shard owner {owner} failed: {reason}")
        return None

    async def _withdraw_attempt(
        self, request: control_pb2.BeginCallRequest
    ) -> None:
        """Record that an attempt refused by this control did not run.

        A write of the owner that was in progress may still take effect after
        the first record, so a second one follows.
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
                _log.warning(
                    f"a refused call may stay recorded as started: {error}"
                )
