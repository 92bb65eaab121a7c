"""Tests of log records."""

import io
import json
import logging
import typing as t
import unittest

import logbook
import logbook.compat

from sesamefold import exceptions
from sesamefold import logs

SECRET = "very-secret"


class LogsTest(unittest.TestCase):
    def setUp(self) -> None:
        redirected = logbook.compat.redirected_logging()
        redirected.start()
        self.addCleanup(redirected.end)
        self.stream = io.StringIO()
        handler = logs.set_up(self.stream)
        self.addCleanup(handler.pop_application)

    def read_records(self) -> t.List[t.Dict[str, t.Any]]:
        return [json.loads(x) for x in self.stream.getvalue().splitlines()]

    def test_records_of_both_libraries_are_json_lines(self) -> None:
        """Guards against lines that a log collector cannot parse."""
        logbook.Logger("gateway").info(
            "accepted {}\nx", 3, extra={"request": "r1", "revision": 4}
        )
        logging.getLogger("aiohttp.server").warning("slow %s", "peer")
        logging.getLogger("aiohttp.server").debug("not written")
        first, second = self.read_records()
        self.assertRegex(first.pop("time"), r"^\d{4}-.*T.*\+00:00$")
        self.assertEqual(
            {
                "level": "info",
                "logger": "gateway",
                "message": "accepted 3\nx",
                "request": "r1",
                "revision": 4,
            },
            first,
        )
        self.assertEqual(
            ("warning", "aiohttp.server", "slow peer"),
            (second["level"], second["logger"], second["message"]),
        )

    def test_content_of_requests_is_not_written(self) -> None:
        """Guards against tokens and content of requests in the log."""
        logger = logbook.Logger("gateway")
        logger.info("Authorization: Bearer " + SECRET)
        logger.info("call", extra={"prompt": SECRET, "Token": SECRET})
        logger.info("call", extra={"peer": f"bearer {SECRET}"})
        logging.getLogger("asyncio").error(
            "Task exception was never retrieved\nfuture: %s", SECRET
        )
        for error in (KeyError(SECRET), exceptions.Overloaded("full")):
            try:
                raise error
            except Exception:
                logger.exception("failed")
        self.assertNotIn(SECRET, self.stream.getvalue())
        failures = [
            r["exception"] for r in self.read_records() if "exception" in r
        ]
        self.assertEqual("KeyError", failures[0]["type"])
        self.assertEqual(
            ("full", 1202), (failures[1]["message"], failures[1]["code"])
        )
