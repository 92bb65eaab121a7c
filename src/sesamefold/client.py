"""gRPC client of the control daemon."""

import asyncio
import re
import typing as t

import grpc

from sesamefold import deadline as deadlines
from sesamefold import defaults
from sesamefold import exceptions
from sesamefold.wire import control_pb2
from sesamefold.wire import control_pb2_grpc

# Key in the trailing metadata of the `executed` value of an error.
EXECUTED_KEY = "sesamefold-executed"
# Metadata key that marks a request forwarded by another control daemon, for
# calls whose message has no field `forwarded`.
FORWARDED_KEY = "sesamefold-forwarded"

# The configuration of 19,000 customers takes 1 to 2 MB; the default limit of
# gRPC is 4 MB.
MAX_MESSAGE_BYTES = 32 * 1024 * 1024

CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    # A restarted host must be reached again before the deadline of a call
    # passes; the default backoff grows up to 120 s.
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 2000),
    # The default flow-control window of 64 KB is enough; bandwidth probing
    # would add a ping to each call.
    ("grpc.http2.bdp_probe", 0),
    # Detects peers that vanished without closing the connection.
    ("grpc.keepalive_time_ms", 20_000),
    ("grpc.keepalive_timeout_ms", 5_000),
)

_ERROR_DETAILS_PATTERN = re.compile(r"(\d{4}): (.*)", re.DOTALL)


def open_channel(address: str) -> grpc.aio.Channel:
    """Return a channel to the control daemon at `address` (ip:port)."""
    return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)


def _iterate_error_classes(
    cls: t.Type[exceptions.SesamefoldError],
) -> t.Iterator[t.Tuple[int, t.Type[exceptions.SesamefoldError]]]:
    # Subclasses come first: in a dict of these pairs, a code that a subclass
    # inherits then belongs to the class that defines it.
    for subclass in cls.__subclasses__():
        yield from _iterate_error_classes(subclass)
    yield cls.code, cls


def convert_error(error: grpc.RpcError) -> exceptions.SesamefoldError:
    """Return the exception that corresponds to a gRPC error.

    Details that begin with a known error code yield an instance of its class.
    Otherwise the statuses INTERNAL and UNKNOWN yield `InternalError`, and all
    others `ControlUnavailable`.
    """
    details = error.details() or ""
    match = _ERROR_DETAILS_PATTERN.fullmatch(details)
    cls = dict(_iterate_error_classes(exceptions.SesamefoldError)).get(
        int(match[1]) if match else 0
    )
    if match and cls is not None:
        # Bypasses the constructors of subclasses, some of which take other
        # arguments than the message.
        converted = cls.__new__(cls)
        executed = dict(error.trailing_metadata() or ()).get(EXECUTED_KEY)
        exceptions.SesamefoldError.__init__(
            converted, match[2], executed=executed
        )
        return converted
    if error.code() in (grpc.StatusCode.INTERNAL, grpc.StatusCode.UNKNOWN):
        return exceptions.InternalError(f"control failed: {details}")
    return exceptions.ControlUnavailable(
        f"control did not answer: {error.code().name}: {details}"
    )


class ControlClient:
    """Client of one control daemon.

    All methods raise `exceptions.ControlUnavailable` when the daemon does not
    answer by the deadline, and the exception for the error code when it
    answers with one. The channel reconnects automatically.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._channel = open_channel(address)
        self.stub = control_pb2_grpc.ControlStub(self._channel)

    async def close(self) -> None:
        """Close the channel; calls in progress are cancelled."""
        await self._channel.close()

    async def __aenter__(self) -> "ControlClient":
        return self

    async def __aexit__(self, *exc_info: t.Any) -> None:
        await self.close()

    async def _call(
        self,
        method: t.Callable[..., t.Any],
        request: t.Any,
        deadline: t.Optional[deadlines.Deadline],
    ) -> t.Any:
        remaining_seconds = (
            defaults.CONTROL_TIMEOUT
            if deadline is None
            else deadline.remaining()
        )
        if remaining_seconds <= 0:
            raise exceptions.ControlUnavailable("the deadline has passed")
        try:
            return await method(request, timeout=remaining_seconds)
        except grpc.RpcError as error:
            raise convert_error(error) from error
        except asyncio.CancelledError:
            # gRPC reports the closing of the channel as a cancellation.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            raise exceptions.ControlUnavailable("the channel was closed")

    async def _watch(self, call: t.Any) -> t.AsyncIterator[t.Any]:
        try:
            async for message in call:
                yield message
        except grpc.RpcError as error:
            raise convert_error(error) from error
        finally:
            call.cancel()

    async def probe(self, deadline: deadlines.Deadline) -> None:
        """Wait until the daemon has answered an empty lookup of blocks."""
        request = control_pb2.LookupBlocksRequest(forwarded=True)
        await self._call(self.stub.LookupBlocks, request, deadline)

    def watch_configuration(
        self, known_digests: t.Iterable[str] = ()
    ) -> t.AsyncIterator[control_pb2.Configuration]:
        """Yield the configuration in force, then each change.

        Chunks whose digests are known, or were sent before in this stream,
        are left out. Close the iterator (`aclose`) to end the stream.
        """
        return self._watch(
            self.stub.WatchConfiguration(
                control_pb2.WatchConfigurationRequest(
                    known_digests=known_digests
                )
            )
        )

    def watch_backends(
        self,
    ) -> t.AsyncIterator[control_pb2.BackendStates]:
        """Yield the states of all backend servers, then each change."""
        return self._watch(
            self.stub.WatchBackends(control_pb2.WatchBackendsRequest())
        )

    async def fetch_configuration(
        self,
        request: control_pb2.FetchConfigurationRequest,
        deadline: t.Optional[deadlines.Deadline] = None,
    ) -> control_pb2.Configuration:
        """Return the head in force and the chunks not known to the caller."""
        return await self._call(
            self.stub.FetchConfiguration, request, deadline
        )

    async def get_status(
        self,
        whole: bool = False,
        deadline: t.Optional[deadlines.Deadline] = None,
    ) -> control_pb2.Status:
        """Return the status of the data centre, or of the whole system."""
        return await self._call(
            self.stub.GetStatus,
            control_pb2.GetStatusRequest(whole=whole),
            deadline,
        )

    async def acquire_permit(
        self,
        request: control_pb2.AcquirePermitRequest,
        deadline: t.Optional[deadlines.Deadline] = None,
    ) -> control_pb2.Permit:
        """Return a permit; its ID is empty when none was granted."""
        return await self._call(self.stub.AcquirePermit, request, deadline)

    async def renew_permit(
        self,
        request: control_pb2.RenewPermitRequest,
        deadline: t.Optional[deadlines.Deadline] = None,
    ) -> control_pb2.Permit:
        """Return the extended permit."""
        return await self._call(self.stub.RenewPermit, request, deadline)

    async def release_permit(
        self,
        request: control_pb2.ReleasePermitRequest,
        deadline: t.Optional[deadlines.Deadline] = None,
    ) -> None:
        """Release a permit."""
        await self._call(self.stub.ReleasePermit, request, deadline)

    async def begin_call(
        self,
        request: control_pb2.BeginCallRequest,
        deadline: t.Optional[deadlines.Deadline] = None,
    ) -> control_pb2.BeginCallReply:
        """Record in the journal that a non-idempotent call is about to run."""
        return await self._call(self.stub.BeginCall, request, deadline)

    async def finish_call(
        self,
        request: control_pb2.FinishCallRequest,
        deadline: t.Optional[deadlines.Deadline] = None,
    ) -> None:
        """Record the outcome of a non-idempotent call in the journal."""
        await self._call(self.stub.FinishCall, request, deadline)

    async def lookup_blocks(
        self,
        request: control_pb2.LookupBlocksRequest,
        deadline: t.Optional[deadlines.Deadline] = None,
    ) -> control_pb2.LookupBlocksReply:
        """Return the holders of blocks."""
        return await self._call(self.stub.LookupBlocks, request, deadline)

    async def report_blocks(
        self,
        request: control_pb2.ReportBlocksRequest,
        deadline: t.Optional[deadlines.Deadline] = None,
    ) -> None:
        """Report holders of blocks."""
        await self._call(self.stub.ReportBlocks, request, deadline)

    async def report_failure(
        self,
        request: control_pb2.ReportFailureRequest,
        deadline: t.Optional[deadlines.Deadline] = None,
    ) -> None:
        """Report that a backend server failed."""
        await self._call(self.stub.ReportFailure, request, deadline)

    async def report_suspicions(
        self,
        request: control_pb2.ReportSuspicionsRequest,
        deadline: t.Optional[deadlines.Deadline] = None,
    ) -> None:
        """Report requests that were in flight at crashes."""
        await self._call(self.stub.ReportSuspicions, request, deadline)
