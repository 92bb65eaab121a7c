"""Tests of the times in which the event loop stands still."""

import asyncio
import time
import unittest

from sesamefold.entry import pauses
from tests import entry_fakes


class PauseMonitorTest(unittest.IsolatedAsyncioTestCase):
    """Sum of the pauses of the event loop."""

    def test_only_late_checks_count(self) -> None:
        clock = entry_fakes.FakeClock()
        log = entry_fakes.RecordingLog()
        monitor = pauses.PauseMonitor(log, clock)
        clock.now += 100.0
        self.assertEqual(0.0, monitor.measure_paused_seconds())
        monitor.check()
        clock.now += pauses.CHECK_INTERVAL_SECONDS + 0.01
        monitor.check()
        self.assertEqual(0.0, monitor.measure_paused_seconds())
        clock.now += pauses.CHECK_INTERVAL_SECONDS + 1.0
        self.assertAlmostEqual(1.0, monitor.measure_paused_seconds())
        monitor.check()
        self.assertAlmostEqual(1.0, monitor.measure_paused_seconds())
        self.assertEqual(["loop_paused"], log.events)

    async def test_a_blocked_event_loop_is_measured(self) -> None:
        """Guards against a pause that is taken for the silence of a server."""
        monitor = pauses.PauseMonitor(entry_fakes.make_log())
        running = asyncio.create_task(monitor.run())
        await asyncio.sleep(0.12)
        time.sleep(0.5)
        self.assertGreater(monitor.measure_paused_seconds(), 0.4)
        running.cancel()
