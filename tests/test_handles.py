"""Tests of resume handles."""

import unittest

import attrs

from sesamefold import exceptions
from sesamefold import handles
from sesamefold import settings

OLD = settings.HandleKey("k1", "first secret")
NEW = settings.HandleKey("k2", "second secret")
HANDLE = handles.Handle("r", "acme", "m", "v1", 7, "0" * 64, "a:1", 100.0)


class HandleTest(unittest.TestCase):
    def test_rotation(self):
        """Guards against handles that end with a change of keys."""
        text = handles.sign_handle(HANDLE, [OLD])
        found = handles.open_handle(text, "acme", [NEW, OLD], now=99.0)
        self.assertEqual(HANDLE, found)

    def test_refused(self):
        """Guards against handles that nobody signed for this customer."""
        good = handles.sign_handle(HANDLE, [OLD])
        key, payload, signature = good.split(".")
        other = handles.sign_handle(
            attrs.evolve(HANDLE, customer="other"), [OLD]
        )
        table = {
            "expired": (good, "acme", [OLD], 100.0),
            "other customer": (good, "other", [OLD], 99.0),
            "removed key": (good, "acme", [NEW], 99.0),
            "other secret": (
                good,
                "acme",
                [settings.HandleKey("k1", "x")],
                99.0,
            ),
            "payload of another": (
                f"{key}.{other.split('.')[1]}.{signature}",
                "other",
                [OLD],
                99.0,
            ),
            "other key id": (f"k2.{payload}.{signature}", "acme", [NEW], 99.0),
            "cut": (good[:-1], "acme", [OLD], 99.0),
            "empty": ("", "acme", [OLD], 99.0),
            "not ASCII": (good + "\u00e9", "acme", [OLD], 99.0),
            "no keys": (good, "acme", [], 99.0),
        }
        messages = set()
        for name, (text, customer, keys, now) in table.items():
            with self.subTest(name):
                with self.assertRaises(exceptions.UnknownHandle) as caught:
                    handles.open_handle(text, customer, keys, now=now)
                messages.add(str(caught.exception))
        self.assertEqual(1, len(messages))
