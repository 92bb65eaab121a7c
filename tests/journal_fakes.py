"""In-memory fakes of the key-value service and of other controls."""

import asyncio
import collections
import selectors
import unittest

import grpc
from grpc import aio

from sesamefold import exceptions
from sesamefold import keyvalue

# Faults of one call.
CALL_FAILED = "call failed"  # no effect, and the caller knows it
REPLY_LOST = "reply lost"  # takes effect, but the caller gets an error
REQUEST_LOST = "request lost"  # no effect, but the caller cannot know it
REQUEST_DELAYED = "request delayed"  # takes effect after the caller's error

START_UNIX_SECONDS = 1_800_000_000.0


class _NonWaitingSelector(selectors.DefaultSelector):
    """Selector that adds up timeouts instead of waiting for them."""

    skipped_seconds = 0.0

    def select(self, timeout=None):
        if timeout is None:
            # Nothing is scheduled, so only a thread can wake the loop.
            return super().select(5.0)
        self.skipped_seconds += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in which waiting takes no time.

    With it, tests do not depend on the speed of the machine, and their tasks
    run in the same order each time.
    """

    def __init__(self):
        self._non_waiting_selector = _NonWaitingSelector()
        super().__init__(self._non_waiting_selector)

    def time(self):
        # The offset keeps rounding from ending a wait before its time, which
        # would start the wait again.
        return self._non_waiting_selector.skipped_seconds + 1e-9


class VirtualTimeTestCase(unittest.IsolatedAsyncioTestCase):
    """A test case that runs on a `VirtualTimeLoop`."""

    loop_factory = VirtualTimeLoop  # from Python 3.13 on

    def _setupAsyncioRunner(self):
        # Python 3.11 and 3.12 have no public API to set the loop.
        self._asyncioRunner = asyncio.Runner(loop_factory=VirtualTimeLoop)


def read_clock():
    """Return the virtual time, Unix seconds."""
    return START_UNIX_SECONDS + asyncio.get_running_loop().time()


class _Faults:
    """Faults of the next calls, and the number of calls, by method.

    `choose_fault` returns the fault of a call to a method, or None; while it
    is set, `faults` is not used.
    """

    def __init__(self):
        self.faults = collections.defaultdict(list)
        self.choose_fault = None
        self.calls = collections.Counter()

    def pop_fault(self, method):
        self.calls[method] += 1
        if self.choose_fault is not None:
            return self.choose_fault(method)
        faults = self.faults[method]
        return faults.pop(0) if faults else None


class FakeKeyValue(_Faults):
    """A key-value service in a dictionary; it has no leases or watches.

    `before_call` is awaited before each call takes effect.
    """

    def __init__(self, latency=0.0):
        super().__init__()
        self.entries = {}
        self.latency = latency
        self.before_call = None

    async def _call(self, method, effect):
        fault = self.pop_fault(method)
        if self.before_call is not None:
            await self.before_call(method)
        await asyncio.sleep(self.latency)
        if fault == CALL_FAILED or (fault and method in ("get", "list_keys")):
            raise exceptions.PlatformUnavailable("the call failed")
        if fault == REQUEST_DELAYED:
            loop = asyncio.get_running_loop()
            loop.call_later(0.03, self._apply_delayed, effect)
        result = effect() if fault in (None, REPLY_LOST) else None
        if fault is not None:
            raise exceptions.OutcomeUnknown("the reply was lost")
        return result

    @staticmethod
    def _apply_delayed(effect):
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
    """A network of controls that call each other.

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
        self._delayed_calls = set()

    def create_peers(self, name):
        return FakePeers(name, self)

    def register_handlers(self, name, **handlers):
        for method, handler in handlers.items():
            self._handlers[name, method] = handler

    async def call(self, name, method, request):
        fault = self.pop_fault((name, method))
        error = aio.AioRpcError(
            grpc.StatusCode.UNAVAILABLE, aio.Metadata(), aio.Metadata()
        )
        handler = self._handlers.get((name, method))
        if fault == CALL_FAILED or handler is None:
            raise error
        copy = type(request).FromString(request.SerializeToString())
        if fault == REQUEST_DELAYED:
            # The request is executed although its caller got an error.
            self._delayed_calls.add(
                asyncio.create_task(self._run_delayed(handler, copy))
            )
            raise error
        try:
            reply = await handler(copy)
        except exceptions.SesamefoldError as handler_error:
            raise aio.AioRpcError(
                grpc.StatusCode.ABORTED,
                aio.Metadata(),
                aio.Metadata(),
                f"{handler_error.code}: {handler_error.message}",
            ) from handler_error
        if fault is not None:
            raise error
        return reply

    @staticmethod
    async def _run_delayed(handler, request):
        await asyncio.sleep(0.02)
        try:
            await handler(request)
        except exceptions.SesamefoldError:
            pass


class FakePeers:
    """The peers that one host sees."""

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
            raise exceptions.ControlUnavailable(f"unknown control {name}")
        return _Stub(name, self._network)


class _Stub:
    def __init__(self, name, network):
        self._name = name
        self._network = network

    def __getattr__(self, method):
        async def call(request, timeout=1.0):
            return await self._network.call(self._name, method, request)

        return call
