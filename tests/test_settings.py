"""Tests of process settings."""

import pathlib
import tempfile
import typing as t
import unittest

from sesamefold import exceptions
from sesamefold import settings

TEXT = """\
host: lima-1
data_centre: lima-a
key_value_url: http://127.0.0.1:9000
host_list_url: http://127.0.0.1:9001/hosts
handle_keys:
  - {id: a, secret: "0123456789abcdef"}
drain_delay: 1
"""
SECRET = "fedcba9876543210"


class SettingsTest(unittest.TestCase):
    def load(
        self, text: str, environ: t.Mapping[str, str] = {}
    ) -> settings.Settings:
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "settings.yaml"
            path.write_bytes(text.encode("utf-8", "surrogateescape"))
            return settings.load_settings(path, environ)

    def test_file_and_overrides(self) -> None:
        """Guards against an override that is ignored or converted wrongly."""
        environ = {
            "SESAMEFOLD_HOST": "lima-2",
            "SESAMEFOLD_DRAIN_TIME": "7.5",
            "SESAMEFOLD_PLACEMENT": "affinity",
            "SESAMEFOLD_HANDLE_KEYS": f"b:{SECRET},a:0123456789abcdef",
            "SESAMEFOLD_PLATFORM": "read by the command line",
            "HOME": "ignored",
        }
        self.assertEqual(
            settings.Settings(
                host="lima-2",
                data_centre="lima-a",
                key_value_url="http://127.0.0.1:9000",
                host_list_url="http://127.0.0.1:9001/hosts",
                handle_keys=(
                    settings.HandleKey("b", SECRET),
                    settings.HandleKey("a", "0123456789abcdef"),
                ),
                drain_delay=1.0,
                drain_time=7.5,
                placement="affinity",
            ),
            self.load(TEXT, environ),
        )
        # A required key may come from a variable only.
        without = TEXT.replace("host: lima-1\n", "")
        self.assertEqual("lima-2", self.load(without, environ).host)

    def test_problems(self) -> None:
        """Guards against a daemon that starts with wrong settings."""
        for old, new, environ, expected in (
            ("host: lima-1\n", "", {}, [(1, "", 1608)]),
            ("drain_delay", "drain", {}, [(7, "drain", 1605)]),
            ("drain_delay", "host", {}, [(7, "host", 1606)]),
            ("lima-1", "7", {}, [(1, "host", 1607)]),
            ("delay: 1", "delay: -1", {}, [(7, "drain_delay", 1609)]),
            ("lima-a", "lima a", {}, [(2, "data_centre", 1610)]),
            ("http:", "ftp:", {}, [(3, "key_value_url", 1611)]),
            ("0123", "0", {}, [(6, "handle_keys[0].secret", 1610)]),
            ("lima-1", "}", {}, [(1, "", 1604)]),
            (TEXT, "", {}, [(1, "", 1602)]),
            (TEXT, "#" * 70_000, {}, [(0, "", 1603)]),
            (TEXT, "\udcff", {}, [(0, "", 1601)]),
            (
                "lima-1",
                "1",
                {
                    "SESAMEFOLD_CONTROL_ADDRESS": "localhost:1",
                    "SESAMEFOLD_DRAIN_TIME": "nan",
                    "SESAMEFOLD_HOSTS": "",
                },
                [
                    (0, "SESAMEFOLD_CONTROL_ADDRESS", 1611),
                    (0, "SESAMEFOLD_DRAIN_TIME", 1609),
                    (0, "SESAMEFOLD_HOSTS", 1605),
                    (1, "host", 1607),
                ],
            ),
        ):
            with self.subTest(new=new[:20], old=old[:20]):
                with self.assertRaises(exceptions.SettingsError) as caught:
                    self.load(TEXT.replace(old, new, 1), environ)
                self.assertEqual(
                    expected,
                    sorted(
                        (p.line, p.path, p.code)
                        for p in caught.exception.problems
                    ),
                )
        with self.assertRaises(exceptions.SettingsError) as caught:
            settings.load_settings("/nonexistent", {})
        self.assertEqual([1601], [p.code for p in caught.exception.problems])

    def test_secrets_are_not_shown(self) -> None:
        """Guards against a handle key in a log or an error message."""
        self.assertNotIn("0123456789abcdef", repr(self.load(TEXT)))
        for text in (
            TEXT.replace("0123456789abcdef", f"{SECRET} {SECRET}"),
            TEXT.replace("http://", f"http://user:{SECRET}@"),
        ):
            with self.assertRaises(exceptions.SettingsError) as caught:
                self.load(text)
            self.assertNotIn(SECRET, str(caught.exception))
