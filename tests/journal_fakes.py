"""In-memory doubles of the key-value service and of other controls."""

import asyncio
import collections
import selectors
import unittest

import grpc
from grpc import aio

from sesamefold import exceptions
from sesamefold import keyvalue

# Faults of one call.
CALL_FAILED = "down"  # no effect
REPLY_LOST = "lost"  # effect, and the answer is lost
REQUEST_LOST = "unknown"  # no effect, but the caller cannot tell
REQUEST_DELAYED = "late"  # effect after the caller got its error

START_UNIX_SECONDS = 1_800_000_000.0


class _SkippingSelector(selectors.DefaultSelector):
    """Returns at once and counts the time that it would have waited."""

    skipped = 0.0

    def select(self, timeout=None):
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

    def __init__(self):
        self._skipping = _SkippingSelector()
        super().__init__(self._skipping)

    def time(self):
        # Waits end exactly at their time; rounding must not repeat them.
        return self._skipping.skipped + 1e-9


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case on a `VirtualTimeLoop`."""

    loop_factory = VirtualTimeLoop  # from Python 3.13 on

    def _setupAsyncioRunner(self):
        # Python 3.11 and 3.12 have no public way to choose the loop.
        self._asyncioRunner = asyncio.Runner(loop_factory=VirtualTimeLoop)


def read_clock():
    """Return the virtual time as Unix seconds."""
    return START_UNIX_SECONDS + asyncio.get_running_loop().time()


class _Faults:
    """Faults of the next calls by method, or from `choose_fault`."""

    def __init__(self):
        self.faults = collections.defaultdict(list)
        self.choose_fault = None
        self.calls = collections.Counter()

    def next_fault(self, method):
        self.calls[method] += 1
        if self.choose_fault is not None:
            return self.choose_fault(method)
        faults = self.faults[method]
        return faults.pop(0) if faults else None


class FakeKeyValue(_Faults):
    """Compare-and-swap on a dictionary.

    `before_call` is awaited before each call takes effect.
    """

    def __init__(self, latency=0.0):
        super().__init__()
        self.entries = {}
        self.latency = latency
        self.before_call = None

    async def _call(self, method, effect):
        fault = self.next_fault(method)
        if self.before_call is not None:
            await self.before_call(method)
        await asyncio.sleep(self.latency)
        if fault == CALL_FAILED or (fault and method in ("get", "list_keys")):
            raise exceptions.PlatformUnavailable("the call failed")
        if fault == REQUEST_DELAYED:
            loop = asyncio.get_running_loop()
            loop.call_later(0.03, self._apply_late, effect)
        result = effect() if fault in (None, REPLY_LOST) else None
        if fault is not None:
            raise exceptions.OutcomeUnknown("the answer was lost")
        return result

    @staticmethod
    def _apply_late(effect):
        try:
            effect()
        except exceptions.VersionConflict:
            pass

    def _store(self, key, value, expected):
        entry = self.entries.get(key)
        actual = 0 if entry is None else entry.version
        if expected is not None and expected != actual:
            raise exceptions.VersionConflict(key, expected, actual)
        if value is None:
            return self.entries.pop(key, None)
        self.entries[key] = keyvalue.Entry(key, value, actual + 1)
        return actual + 1

    async def get(self, key, deadline):
        return await self._call("get", lambda: self.entries.get(key))

    async def put(self, key, value, expected, deadline, lease=None):
        return await self._call(
            "put", lambda: self._store(key, value, expected)
        )

    async def delete(self, key, expected, deadline):
        await self._call("delete", lambda: self._store(key, None, expected))

    async def list_keys(self, prefix, deadline):
        return await self._call(
            "list_keys",
            lambda: sorted(k for k in self.entries if k.startswith(prefix)),
        )


class Network(_Faults):
    """Controls that call each other.

    A method is keyed as (host, method). `running_hosts` are the hosts that
    run and the hosts that each sees by default; `host_views` overrides what
    one host sees. `remote_hosts` maps a host to the hosts of other data
    centres that it sees.
    """

    def __init__(self, names):
        super().__init__()
        self.running_hosts = list(names)
        self.host_views = {}
        self.remote_hosts = {}
        self._handlers = {}
        self._late = set()

    def create_peers(self, name):
        return FakePeers(name, self)

    def register_handlers(self, name, **handlers):
        for method, handler in handlers.items():
            self._handlers[name, method] = handler

    async def call(self, name, method, request):
        fault = self.next_fault((name, method))
        error = aio.AioRpcError(
            grpc.StatusCode.UNAVAILABLE, aio.Metadata(), aio.Metadata()
        )
        handler = self._handlers.get((name, method))
        if fault == CALL_FAILED or handler is None:
            raise error
        copy = type(request).FromString(request.SerializeToString())
        if fault == REQUEST_DELAYED:
            # The request outlives the connection of its caller.
            self._late.add(asyncio.create_task(self._run_late(handler, copy)))
            raise error
        try:
            reply = await handler(copy)
        except exceptions.SesamefoldError as refusal:
            raise aio.AioRpcError(
                grpc.StatusCode.ABORTED,
                aio.Metadata(),
                aio.Metadata(),
                f"{refusal.code}: {refusal.message}",
            ) from refusal
        if fault is not None:
            raise error
        return reply

    @staticmethod
    async def _run_late(handler, request):
        await asyncio.sleep(0.02)
        try:
            await handler(request)
        except exceptions.SesamefoldError:
            pass


class FakePeers:
    """The view of one host."""

    def __init__(self, name, network):
        self.name = name
        self._network = network

    def list_members(self):
        return list(
            self._network.host_views.get(
                self.name, self._network.running_hosts
            )
        )

    list_entry_hosts = list_members

    def list_remote_hosts(self):
        return self._network.remote_hosts.get(self.name, {})

    def get_stub(self, name):
        if name not in self._network.running_hosts:
            raise exceptions.ControlUnavailable(f"{name} is not known")
        return _Stub(name, self._network)


class _Stub:
    def __init__(self, name, network):
        self._name = name
        self._network = network

    def __getattr__(self, method):
        async def call(request, timeout=1.0):
            return await self._network.call(self._name, method, request)

        return call
