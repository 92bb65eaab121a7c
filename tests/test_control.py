"""Tests of the complete control daemon over real gRPC connections."""

import asyncio
import signal
import time
import unittest

import aiohttp

from sesamefold import client
from sesamefold import exceptions
from sesamefold import revisions
from sesamefold.wire import control_pb2
from tests import control_fakes
from tools import launcher


class ControlTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, name, key_value, host_list, engines=None):
        daemon = control_fakes.Control(name, key_value, host_list, engines)
        await daemon.start()
        self.addAsyncCleanup(daemon.stop)
        return daemon

    async def open(self, daemon):
        gateway = client.ControlClient(daemon.control_address)
        self.addAsyncCleanup(gateway.close)
        return gateway

    async def test_connected_gateway_gets_configuration_and_states(self):
        """Guards against a gateway that gets no configuration or states."""
        key_value = control_fakes.KeyValue()
        control_fakes.store_revision(key_value, 1)
        hosts = control_fakes.HostList(
            control_fakes.make_backend("b1"),
            control_fakes.make_backend("s1", group="p"),
        )
        engines = {"127.0.0.1:2": control_fakes.Engine()}
        daemon = await self.start("h1", key_value, hosts, engines)
        gateway = await self.open(daemon)

        watch = gateway.watch_configuration()
        first = await anext(watch)
        while first.revision == 0:
            first = await anext(watch)
        chunks = {chunk.digest: chunk.data for chunk in first.chunks}
        built = revisions.build_configuration(
            revisions.Head.decode(first.head), chunks, include_customers=True
        )
        self.assertEqual(["acme"], list(built.customers))
        control_fakes.store_revision(key_value, 2, version="v2")
        second = await anext(watch)
        self.assertEqual((2, 1), (second.revision, len(second.chunks)))
        await watch.aclose()

        states = {}
        watch = gateway.watch_backends()
        async for message in watch:
            states.update({s.name: s.state for s in message.states})
            if states == {"b1": "warm", "s1": "warm"}:
                break
        await watch.aclose()

    async def test_errors_of_calls_keep_class_and_executed(self):
        """Guards against errors that lose class or code between processes."""
        daemon = await self.start(
            "h1", control_fakes.KeyValue(), control_fakes.HostList()
        )
        gateway = await self.open(daemon)

        class Journal:
            error = None

            async def begin(self, request):
                raise self.error

        for error in (
            exceptions.JournalUnavailable("no quorum: 7"),
            exceptions.KeyExpired("too old", executed=exceptions.UNKNOWN),
            exceptions.VersionConflict("k", 1, 2),
        ):
            with self.subTest(error=error):
                daemon.optional_components["journal"] = Journal()
                Journal.error = error
                with self.assertRaises(type(error)) as caught:
                    await gateway.begin_call(control_pb2.BeginCallRequest())
                self.assertEqual(str(error), str(caught.exception))
                self.assertEqual(error.executed, caught.exception.executed)
        daemon.optional_components.clear()
        with self.assertRaises(exceptions.ControlUnavailable):
            await gateway.begin_call(control_pb2.BeginCallRequest())

    async def test_one_suspect_reserves_a_server_at_a_time(self):
        """Guards against suspects of two gateways on one server.

        A daemon that has just started may not know the others yet, so it
        must name the time from which it grants, and grant then.
        """
        host_list = control_fakes.HostList()
        daemon = await self.start("h1", control_fakes.KeyValue(), host_list)
        gateway = await self.open(daemon)

        async def request(holder):
            return await gateway.stub.AcquirePermit(
                control_pb2.AcquirePermitRequest(
                    backend="b1", holder=holder, request="r", exclusive=True
                )
            )

        async def acquire(holder):
            return (await request(holder)).id

        self.assertEqual("", await acquire("h1"))
        host_list.add(control_fakes.make_host("h1", daemon.control_address))
        await control_fakes.wait_until(daemon.membership.knows_members)
        refusal = await request("h1")
        self.assertEqual("", refusal.id)
        wait_seconds = refusal.retry_at - time.time()
        self.assertLessEqual(wait_seconds, 2.0)
        await asyncio.sleep(wait_seconds)
        first = await acquire("h1")
        self.assertNotEqual("", first)
        self.assertEqual("", await acquire("h2"))
        await gateway.stub.ReleasePermit(
            control_pb2.ReleasePermitRequest(
                id=first, backend="b1", exclusive=True
            )
        )
        self.assertNotEqual("", await acquire("h2"))

    async def test_daemon_without_configuration_is_healthy_but_not_ready(self):
        """Guards against readiness before the configuration is known."""
        key_value = control_fakes.KeyValue()
        key_value.down = True
        daemon = await self.start("h1", key_value, control_fakes.HostList())
        url = f"http://{daemon.metrics_address}"
        async with aiohttp.ClientSession() as session:
            for path, status in (
                ("/healthz", 200),
                ("/readyz", 503),
                ("/other", 404),
                ("/healthz?x=" + "y" * 20_000, 400),
            ):
                async with session.get(url + path) as response:
                    self.assertEqual(status, response.status)
            async with session.get(url + "/metrics") as response:
                self.assertIn("sesamefold_members", await response.text())


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_first_signal_drains_and_second_exits_at_once(self):
        """Guards against a daemon that does not exit, or exits too early."""
        for case, signals, code in (
            ("the gateway ends its streams", 1, 0),
            ("second signal", 2, 1),
        ):
            with self.subTest(case):
                async with launcher.Launcher() as started:
                    path = started.folder / "settings.yaml"
                    path.write_text(
                        "host: h1\ndata_centre: dc-a\n"
                        "key_value_url: http://127.0.0.1:9\n"
                        "host_list_url: http://127.0.0.1:9\n"
                    )
                    child = await started.start(
                        "h1", "sesamefold", "control", f"--settings={path}"
                    )
                    gateway = client.ControlClient(
                        child.ready["control_address"]
                    )
                    watch = gateway.watch_backends()
                    await anext(watch)
                    child.send_signal(signal.SIGTERM)
                    # While leaving, the daemon serves as long as the gateway
                    # is connected.
                    url = f"http://{child.ready['metrics_address']}/readyz"
                    missing = []
                    while "leaving" not in missing:
                        async with started.session.get(url) as response:
                            missing = (await response.json())["missing"]
                    await gateway.get_status()
                    if signals == 2:
                        child.send_signal(signal.SIGTERM)
                    else:
                        await watch.aclose()
                    async with asyncio.timeout(15.0):
                        self.assertEqual(code, await child.process.wait())
                    await gateway.close()
