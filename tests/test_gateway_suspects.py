"""Tests of requests at a gateway while servers crash."""

import asyncio
import copy
import hashlib
import json
import time
import unittest.mock

from sesamefold import admission
from sesamefold import completions
from sesamefold import deadline as deadlines
from sesamefold import exceptions
from sesamefold import routing
from sesamefold import suspicions
from sesamefold.wire import control_pb2
from tests import gateway_fakes


class CrashDetectionTest(gateway_fakes.GatewayTestCase):
    async def test_reset_connections_of_a_crashed_server_count_as_a_crash(
        self,
    ):
        """Guards against crashes that are taken for broken connections.

        The server resets connections while it restarts. Its requests must
        become suspects, and it must get no other requests.
        """
        self.bench.control.backends["b"].queued = 100
        self.bench.control.publish()
        await self.wait_for_backends()
        engine = self.bench.engines["a:1"]
        engine.faults = [gateway_fakes.Fault("crash", 3)]
        engine.resets_connections = True
        async with self.bench.post({"stream": True}) as response:
            self.assertIn("[DONE]", await response.text())
        self.assertEqual("a", "".join(self.bench.state.failures))
        await gateway_fakes.wait_until(
            lambda: self.bench.control.failed_backends == ["a"]
        )


class RestartTest(gateway_fakes.GatewayTestCase):
    """The server "a" restarts cold, which the gateway does not know yet."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.bench.control.backends["b"].queued = 100
        self.bench.control.publish()
        await self.wait_for_backends()
        self.restarted = self.bench.engines["a:1"]
        self.restarted.epoch = "2"

    async def test_runs_without_permits_do_not_reach_a_restarted_server(self):
        """Guards against gateways that together overload a cold server.

        Each sends runs to it until the news of its restart arrives there.
        """
        async with self.bench.post({"stream": True}) as response:
            self.assertIn("[DONE]", await response.text())
        self.assertEqual([], self.restarted.requests)
        self.assertEqual(1, len(self.bench.engines["b:1"].requests))

    async def test_restarted_server_gets_runs_with_permits_only(self):
        """Guards against a refused run that ends all use of its server."""
        self.bench.control.permit_limit = 1
        self.bench.control.backends["b"].state = "down"
        self.bench.control.publish()
        await self.wait_for_backends()
        for _ in range(2):
            async with self.bench.post() as response:
                self.assertEqual(200, response.status)
        self.assertEqual("unknown", self.bench.state.get_backend("a").state)
        self.assertEqual(["", ""], [r.epoch for r in self.restarted.requests])
        self.assertEqual(2, len(self.bench.control.granted))


class SuspectTest(gateway_fakes.GatewayTestCase):
    """The server "a" runs a suspect; the server "b" is down at first."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.control = self.bench.control
        await self.set_states(a="warm", b="down")

    async def set_states(self, epoch="1", **states):
        """Publish states of servers and wait until the gateway has them."""
        for name, state in states.items():
            self.control.backends[name].state = state
            self.control.backends[name].epoch = epoch
            self.bench.engines[f"{name}:1"].epoch = epoch
        self.control.publish()
        await self.wait_for_backends()

    def make_suspect(self, customer="acme", crash_id=b"crash", **fields):
        """Count a crash against a request; return the fields of its body."""
        content = json.dumps(gateway_fakes.build_content(**fields)).encode()
        digest = suspicions.digest_request(
            customer, hashlib.sha256(content).digest()
        )
        crash = control_pb2.Crash(id=crash_id, until=time.time() + 60.0)
        self.bench.state.quarantine.merge(
            [control_pb2.Suspicion(request=digest, crashes=[crash])]
        )
        return fields

    async def read(self, fields, customer="acme", **headers):
        """Return the text of the streamed response to a request."""
        async with self.bench.post(fields, customer, **headers) as response:
            return await response.text()

    async def start_suspect(self, seconds, **fault):
        """Start a suspect of another customer that runs for `seconds`."""
        self.bench.engines["a:1"].faults = [gateway_fakes.Fault(**fault)]
        self.bench.engines["a:1"].token_delay_seconds = seconds / 6
        body = self.make_suspect("other", stream=True, max_tokens=6)
        task = asyncio.create_task(self.read(body, "other"))
        await gateway_fakes.wait_until(
            lambda: self.bench.engines["a:1"].requests
        )
        return task

    async def test_waiting_suspect_gets_a_permit_for_a_restarted_server(self):
        """Guards against runs on a cold server without a permit.

        The server restarts while the suspect waits for its turn.
        """
        first = await self.start_suspect(0.0, kind="hang", at=3)
        await self.set_states(b="warm")
        second = asyncio.create_task(
            self.read(self.make_suspect(stream=True, max_tokens=5))
        )
        await asyncio.sleep(0.1)
        self.control.permit_limit = 1
        await self.set_states("2", a="down", b="cold")
        first.cancel()
        self.assertIn("[DONE]", await second)
        self.assertEqual(1, len(self.control.granted))

    async def test_waiting_request_gets_a_server_that_suspect_has_left(self):
        """Guards against requests that wait only for another server.

        They found the only free server reserved for a suspect, and no permit
        is free for the other one.
        """
        await self.set_states(b="cold")
        first = await self.start_suspect(0.6, kind="none")
        text = await self.read(
            {"stream": True}, Sesamefold_Deadline=str(time.time() + 3.0)
        )
        self.assertIn("[DONE]", text)
        self.assertIn("[DONE]", await first)

    async def test_stream_continues_on_the_restarted_server(self):
        """Guards against streams that never return to a server.

        Their server is back, and no permit is free for the other one.
        """
        await self.set_states(b="cold")
        engine = self.bench.engines["a:1"]
        engine.faults = [gateway_fakes.Fault("crash", 3)]
        task = asyncio.create_task(
            self.read(
                {"stream": True}, Sesamefold_Deadline=str(time.time() + 2.0)
            )
        )
        await gateway_fakes.wait_until(lambda: self.control.failed_backends)
        await asyncio.sleep(0.2)
        await self.restart("a")
        self.assertIn("[DONE]", await task)

    async def restart(self, name):
        """Let a crashed server return as warm."""
        self.bench.engines[f"{name}:1"].crashed = False
        self.control.backends[name].measured_at = time.time() + 1.0
        await self.set_states("2", **{name: "warm"})

    async def test_wait_for_a_suspect_leaves_time_for_a_recovery(self):
        """Guards against streams lost at once after the wait for a suspect.

        The suspect crashes the last server, and the other one returns.
        """
        first = await self.start_suspect(1.0, kind="crash", at=6)
        await self.set_states(b="warm")
        self.bench.engines["b:1"].faults = [gateway_fakes.Fault("crash", 3)]
        with unittest.mock.patch.object(
            completions, "RECOVERY_WAIT_SECONDS", 0.5
        ):
            second = asyncio.create_task(self.read({"stream": True}))
            self.assertIn('"code": 1209', await first)
            await asyncio.sleep(0.2)
            await self.restart("b")
            self.assertIn("[DONE]", await second)

    async def test_stream_waits_while_no_versions_are_reported(self):
        """Guards against streams lost while a server is still reported.

        A control daemon knows no versions of a server that it has not polled
        yet or cannot reach, and no servers right after its start.
        """
        for case, backends in (
            ("no versions", copy.deepcopy(self.control.backends)),
            ("no servers", {}),
        ):
            with self.subTest(case):
                for backend in backends.values():
                    backend.state, backend.versions[:] = "down", []
                self.bench.state.failures.clear()
                await self.set_states(a="warm")
                known = self.control.backends
                engine = self.bench.engines["a:1"]
                engine.faults = [gateway_fakes.Fault("crash", 3)]
                task = asyncio.create_task(
                    self.read({"stream": True, "user": case})
                )
                await gateway_fakes.wait_until(lambda: engine.crashed)
                self.control.backends = backends
                await self.set_states()
                await asyncio.sleep(0.3)
                self.control.backends = known
                await self.restart("a")
                self.assertIn("[DONE]", await task)

    async def test_suspect_leaves_a_server_to_another_gateways_suspect(self):
        """Guards against two suspects on one server when it crashes.

        Both would be refused, one of them for the crash of the other.
        """
        self.control.reserved_servers = {"a"}
        body = self.make_suspect(stream=True)
        with unittest.mock.patch.object(
            completions, "RESERVATION_WAIT_SECONDS", 5.0
        ):
            second = asyncio.create_task(self.read(body))
            await asyncio.sleep(0.3)
            self.assertEqual([], self.bench.engine_requests)
            await self.set_states(b="warm")
            self.assertIn("[DONE]", await second)
        self.assertEqual([], self.bench.engines["a:1"].requests)

    async def test_suspect_waits_only_briefly_for_other_gateways(self):
        """Guards against suspects that miss their deadlines in a queue."""
        self.control.reserved_servers = {"a", "b"}
        with unittest.mock.patch.object(
            completions, "RESERVATION_WAIT_SECONDS", 0.3
        ):
            text = await self.read(self.make_suspect(stream=True))
        self.assertIn("[DONE]", text)

    async def test_suspect_waits_for_an_owner_that_grants_nothing_yet(self):
        """Guards against two suspects on one server after a start.

        The owner has not met all hosts, which may run suspects there.
        """
        self.control.reserved_servers = {"a", "b"}
        self.control.reservable_at = time.time() + 0.5
        with unittest.mock.patch.object(
            completions, "RESERVATION_WAIT_SECONDS", 0.1
        ):
            task = asyncio.create_task(
                self.read(self.make_suspect(stream=True))
            )
            await asyncio.sleep(0.4)
            self.assertEqual([], self.bench.engine_requests)
            self.control.reserved_servers = set()
            self.assertIn("[DONE]", await task)

    async def test_wait_for_an_owner_leaves_time_for_the_run(self):
        """Guards against suspects that miss their deadlines at a start."""
        self.control.reserved_servers = {"a", "b"}
        self.control.reservable_at = 2.0**40
        text = await self.read(
            self.make_suspect(stream=True),
            Sesamefold_Deadline=str(time.time() + 3.0),
        )
        self.assertIn("[DONE]", text)

    async def test_crash_reported_during_reservation_stops_the_run(self):
        """Guards against a third crash while a server is being reserved."""
        self.control.reservation_delay_seconds = 0.3
        second = asyncio.create_task(self.read(self.make_suspect(stream=True)))
        await asyncio.sleep(0.1)
        self.make_suspect(crash_id=b"later", stream=True)
        self.assertIn('"code": 1209', await second)
        self.assertEqual([], self.bench.engine_requests)

    async def test_deadline_of_a_suspect_that_ran_is_not_called_unexecuted(
        self,
    ):
        """Guards against "not executed" for a run that had begun.

        The deadline passes while the request waits for its second run.
        """
        await self.set_states(b="warm")
        for engine in self.bench.engines.values():
            engine.faults = [gateway_fakes.Fault("crash", 3)]
        quarantine = self.bench.state.quarantine
        start = quarantine.start

        async def start_once(identity, *rest):
            if quarantine.count_crashes(identity):
                raise exceptions.DeadlineUnreachable("timed out")
            return await start(identity, *rest)

        with unittest.mock.patch.object(quarantine, "start", start_once):
            text = await self.read({"stream": True})
        self.assertIn('"code": 1208', text)
        self.assertIn('"executed": "unknown"', text)


class OfferTest(gateway_fakes.GatewayTestCase):
    async def test_permits_are_sought_for_all_waiting_requests(self):
        """Guards against requests that wait although a permit is free.

        The latest request, which has given up, was not to use that server.
        """
        state = self.bench.state
        slots = admission.Admission(state)
        customer = state.configuration.customers["acme"]

        def wait_for(name, seconds):
            backend = gateway_fakes.build_backend(name, state="cold")
            choice = routing.Choice(backend, True, 0.0)
            return asyncio.create_task(
                slots.acquire(
                    name,
                    customer,
                    "model-a",
                    lambda: [choice],
                    deadlines.Deadline.after(seconds),
                )
            )

        first = wait_for("a", 5.0)
        await asyncio.sleep(0.1)
        second = wait_for("b", 0.2)
        with self.assertRaises(exceptions.DeadlineUnreachable):
            await second
        self.bench.control.permit_limit = 1
        self.assertEqual("a", (await first).backend.name)
