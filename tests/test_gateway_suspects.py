"""Tests of requests at a gateway while servers crash."""

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
