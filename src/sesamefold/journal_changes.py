"""Changes of journal records and the replies to them."""

import asyncio
import typing as t

import attrs

from sesamefold import exceptions
from sesamefold import records
from sesamefold.wire import control_pb2

RUN = control_pb2.BeginCallReply.RUN
RECORDED = control_pb2.BeginCallReply.RECORDED
UNKNOWN = control_pb2.BeginCallReply.UNKNOWN
MISMATCH = control_pb2.BeginCallReply.MISMATCH
EXPIRED = control_pb2.BeginCallReply.EXPIRED


@attrs.frozen
class ChangeResult:
    """Result of a change against the current record of its call.

    `record` must be written before `answer` is given. A result with
    `needs_fresh_read` is final only if the bucket was read for it; against a
    cached copy it has to be evaluated again after a read.
    """

    answer: t.Any
    record: t.Optional[bytes] = None
    needs_fresh_read: bool = False


@attrs.define(eq=False)
class Change:
    """A change that waits for the next write of its bucket.

    `id` and `attempt` are the digests of the record; `result` gets the reply
    or the error.
    """

    id: bytes
    attempt: bytes
    result: "asyncio.Future[t.Any]"
    # Set before the first write that may record this change, by this control
    # or by the shard's owner.
    may_be_recorded: bool = False

    def resolve(self, answer: t.Any) -> None:
        """Set the reply or the error as the result unless it is set."""
        if self.result.done():
            return
        if isinstance(answer, Exception):
            self.result.set_exception(answer)
        else:
            self.result.set_result(answer)


@attrs.define(eq=False)
class Begin(Change):
    """A change that records the intent to run a call.

    `request` is the digest of the request.
    """

    request: bytes = attrs.field(default=b"", kw_only=True)

    def decide(
        self, current: t.Optional[records.Record], size: int
    ) -> ChangeResult:
        """Return the result against the current record of the call.

        `size` is that of the bucket in bytes. A call runs only when no
        attempt has a record, the last one did not run, or the record is that
        of this begin.
        """
        if current is None:
            if size + records.RESERVED_RECORD_BYTES > records.MAX_BUCKET_BYTES:
                return ChangeResult(
                    exceptions.JournalFull(
                        "the journal bucket for calls of this period is full"
                    )
                )
        elif current.request != self.request:
            return ChangeResult(make_reply(MISMATCH))
        elif current.state is records.State.FINISHED:
            return ChangeResult(make_reply(RECORDED, current.outcome))
        elif current.attempt == self.attempt:
            # This begin may have written the record in an earlier write whose
            # reply was lost; then it gets RUN. An attempt that is already
            # NOT_RUN, or that another begin recorded, never runs.
            recorded_by_this = (
                self.may_be_recorded and current.state is records.State.STARTED
            )
            return ChangeResult(
                make_reply(RUN if recorded_by_this else UNKNOWN)
            )
        elif current.state is records.State.STARTED:
            return ChangeResult(make_reply(UNKNOWN), needs_fresh_read=True)
        record = records.Record(
            self.id, self.request, self.attempt, records.State.STARTED
        )
        return ChangeResult(make_reply(RUN), record.encode())


@attrs.define(eq=False)
class Finish(Change):
    """A change that records the outcome of a call.

    The outcome None records that the call did not run.
    """

    outcome: t.Optional[control_pb2.Outcome] = attrs.field(
        default=None, kw_only=True
    )

    def decide(
        self, current: t.Optional[records.Record], size: int
    ) -> ChangeResult:
        """Return the result against the current record of the call.

        `size` is that of the bucket in bytes. The record changes only while
        it is that of this attempt and has no outcome yet.
        """
        if current is None or current.attempt != self.attempt:
            return ChangeResult(control_pb2.Empty(), needs_fresh_read=True)
        if current.state is not records.State.STARTED:
            return ChangeResult(control_pb2.Empty())
        if self.outcome is None:
            record = attrs.evolve(current, state=records.State.NOT_RUN)
        else:
            record = attrs.evolve(
                current,
                state=records.State.FINISHED,
                outcome=records.truncate_outcome(self.outcome, size),
            )
        return ChangeResult(control_pb2.Empty(), record.encode())


def make_reply(
    decision: int,
    outcome: t.Optional[control_pb2.Outcome] = None,
    message: str = "",
) -> control_pb2.BeginCallReply:
    """Return the reply to a begin; `decision` is RUN, RECORDED etc."""
    return control_pb2.BeginCallReply(
        decision=decision, outcome=outcome, message=message
    )
