"""In-memory doubles of the key-value service and of other controls."""

import asyncio
import collections
import selectors
import typing as t
import unittest

import grpc
from grpc import aio

from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import keyvalue

# Faults of one call. "late" takes effect after the caller got its error.
DOWN = "down"  # no effect
LOST = "lost"  # effect, and the answer is lost
UNKNOWN = "unknown"  # no effect, but the caller cannot tell
LATE = "late"


class _SkippingSelector(selectors.DefaultSelector):
    """Returns at once and counts the time that it would have waited."""

    skipped = 0.0

    def select(self, timeout: t.Optional[float] = None) -> t.List[t.Any]:
        if timeout is None:
            # Only a thread can wake the loop now.
            return super().select(5.0)
        self.skipped += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in which waiting takes no time.

    Tests do not depend on the speed of the machine, and tasks run in the same
    order each time.
    """

    def __init__(self) -> None:
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self) -> float:
        # Waits end exactly at their time; rounding must not repeat them.
        return self._skipping.skipped + 1e-9


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case on a `VirtualTimeLoop`."""

    loop_factory = VirtualTimeLoop  # from Python 3.13 on

    def _setupAsyncioRunner(self) -> None:
        # Python 3.11 and 3.12 have no public way to choose the loop.
        self._asyncioRunner = asyncio.Runner(loop_factory=VirtualTimeLoop)


START = 1_800_000_000.0


def read_clock() -> float:
    """Return the virtual time as Unix seconds."""
    return START + asyncio.get_running_loop().time()


class FakeKeyValue:
    """Compare-and-swap on a dictionary, with faults in order of calls.

    `faults` maps a method to the faults of its next calls (None: no fault);
    `choose_fault` replaces them when set. `before` is awaited before each
    call takes effect.
    """

    def __init__(self, latency: float = 0.0) -> None:
        self.entries: t.Dict[str, keyvalue.Entry] = {}
        self.latency = latency
        self.faults: t.Dict[str, t.List[t.Optional[str]]] = (
            collections.defaultdict(list)
        )
        self.choose_fault: t.Optional[t.Callable[[str], t.Optional[str]]] = (
            None
        )
        self.before: t.Optional[t.Callable[[str], t.Awaitable[None]]] = None
        self.calls: t.Counter[str] = collections.Counter()
        self.largest = 0  # bytes

    async def _call(self, method: str, effect: t.Callable[[], t.Any]) -> t.Any:
        self.calls[method] += 1
        if self.choose_fault is not None:
            fault = self.choose_fault(method)
        else:
            faults = self.faults[method]
            fault = faults.pop(0) if faults else None
        if self.before is not None:
            await self.before(method)
        await asyncio.sleep(self.latency)
        if fault == DOWN:
            raise exceptions.PlatformUnavailable("the service is down")
        if fault is not None and method in ("get", "list_keys"):
            raise exceptions.PlatformUnavailable("the answer was lost")
        if fault == UNKNOWN:
            raise exceptions.OutcomeUnknown("the request was lost")
        if fault == LATE:
            asyncio.get_running_loop().call_later(
                0.03, self._apply_late, effect
            )
            raise exceptions.OutcomeUnknown("the request is late")
        result = effect()
        if fault == LOST:
            raise exceptions.OutcomeUnknown("the answer was lost")
        return result

    @staticmethod
    def _apply_late(effect: t.Callable[[], t.Any]) -> None:
        try:
            effect()
        except exceptions.VersionConflict:
            pass

    def _check(self, key: str, expected: t.Optional[int]) -> int:
        entry = self.entries.get(key)
        actual = 0 if entry is None else entry.version
        if expected is not None and expected != actual:
            raise exceptions.VersionConflict(key, expected, actual)
        return actual

    async def get(
        self, key: str, deadline: deadlines.Deadline
    ) -> t.Optional[keyvalue.Entry]:
        return await self._call("get", lambda: self.entries.get(key))

    async def put(
        self,
        key: str,
        value: bytes,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
        lease: t.Optional[str] = None,
    ) -> int:
        def effect() -> int:
            version = self._check(key, expected) + 1
            self.entries[key] = keyvalue.Entry(key, value, version)
            self.largest = max(self.largest, len(value))
            return version

        return await self._call("put", effect)

    async def delete(
        self,
        key: str,
        expected: t.Optional[int],
        deadline: deadlines.Deadline,
    ) -> None:
        def effect() -> None:
            self._check(key, expected)
            self.entries.pop(key, None)

        await self._call("delete", effect)

    async def list_keys(
        self, prefix: str, deadline: deadlines.Deadline
    ) -> t.List[str]:
        return await self._call(
            "list_keys",
            lambda: sorted(k for k in self.entries if k.startswith(prefix)),
        )


def make_rpc_error(
    code: grpc.StatusCode, details: str = ""
) -> aio.AioRpcError:
    """Return the error that a stub raises."""
    return aio.AioRpcError(code, aio.Metadata(), aio.Metadata(), details)


class Network:
    """Controls that call each other.

    `handlers` maps (host, method) to the coroutine function that serves it;
    `faults` maps it to the faults of the next calls. `members` and `hosts`
    are the default views; `views` overrides the members that one host sees.
    """

    def __init__(self, names: t.Iterable[str]) -> None:
        self.names = list(names)
        self.views: t.Dict[str, t.List[str]] = {}
        self.handlers: t.Dict[
            t.Tuple[str, str], t.Callable[[t.Any], t.Awaitable[t.Any]]
        ] = {}
        self.faults: t.Dict[t.Tuple[str, str], t.List[t.Optional[str]]] = (
            collections.defaultdict(list)
        )
        self.choose_fault: t.Optional[
            t.Callable[[str, str], t.Optional[str]]
        ] = None
        self.calls: t.Counter[t.Tuple[str, str]] = collections.Counter()
        self._late: t.Set["asyncio.Task[None]"] = set()

    def join(self, name: str) -> "FakePeers":
        return FakePeers(name, self)

    def serve(
        self, name: str, **handlers: t.Callable[[t.Any], t.Awaitable[t.Any]]
    ) -> None:
        for method, handler in handlers.items():
            self.handlers[name, method] = handler

    async def call(
        self, name: str, method: str, request: t.Any, timeout: float
    ) -> t.Any:
        self.calls[name, method] += 1
        if self.choose_fault is not None:
            fault = self.choose_fault(name, method)
        else:
            faults = self.faults[name, method]
            fault = faults.pop(0) if faults else None
        handler = self.handlers.get((name, method))
        if fault == DOWN or handler is None:
            raise make_rpc_error(grpc.StatusCode.UNAVAILABLE)
        copy = type(request).FromString(request.SerializeToString())
        if fault == LATE:
            # The request outlives the connection of its caller.
            self._late.add(asyncio.create_task(self._run_late(handler, copy)))
            raise make_rpc_error(grpc.StatusCode.UNAVAILABLE)
        try:
            reply = await handler(copy)
        except exceptions.SesamefoldError as error:
            raise make_rpc_error(
                grpc.StatusCode.ABORTED, f"{error.code}: {error.message}"
            ) from error
        if fault == LOST:
            raise make_rpc_error(grpc.StatusCode.UNAVAILABLE)
        return reply

    @staticmethod
    async def _run_late(
        handler: t.Callable[[t.Any], t.Awaitable[t.Any]], request: t.Any
    ) -> None:
        await asyncio.sleep(0.02)
        try:
            await handler(request)
        except exceptions.SesamefoldError:
            pass


class FakePeers:
    """The view of one host."""

    def __init__(self, name: str, network: Network) -> None:
        self.name = name
        self._network = network

    def list_members(self) -> t.List[str]:
        return list(self._network.views.get(self.name, self._network.names))

    list_entry_hosts = list_members

    def get_stub(self, name: str) -> t.Any:
        if name not in self._network.names:
            raise exceptions.ControlUnavailable(f"{name} is not known")
        return _Stub(name, self._network)


class _Stub:
    def __init__(self, name: str, network: Network) -> None:
        self._name = name
        self._network = network

    def __getattr__(self, method: str) -> t.Callable[..., t.Awaitable[t.Any]]:
        async def call(request: t.Any, timeout: float = 1.0) -> t.Any:
            return await self._network.call(
                self._name, method, request, timeout
            )

        return call
