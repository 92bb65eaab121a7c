"""A short run of the soak by one seed."""

import unittest

from tools import soak

SEED = 1
SECONDS = 6.0
HOSTS = 2


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """The promises under random faults."""

    async def test_no_promise_is_broken(self) -> None:
        result = await soak.Soak(SEED, SECONDS, HOSTS).run()
        self.assertEqual([], result["broken"])
        self.assertGreater(result["statuses"]["200"], 50)
