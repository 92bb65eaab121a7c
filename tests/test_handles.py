"""Tests of resume handles."""

import unittest

import attrs

from sesamefold import exceptions
from sesamefold import handles
from sesamefold import settings

OLD_KEY = settings.HandleKey("k1", "first secret")
NEW_KEY = settings.HandleKey("k2", "second secret")
HANDLE = handles.Handle("r", "acme", "m", "v1", 7, "0" * 64, "a:1", 100.0)


class HandleTest(unittest.TestCase):
    def test_handle_stays_valid_after_key_rotation(self):
        """Guards against handles that expire when the keys are rotated."""
        text = handles.sign_handle(HANDLE, [OLD_KEY])
        found = handles.open_handle(text, "acme", [NEW_KEY, OLD_KEY], now=99.0)
        self.assertEqual(HANDLE, found)

    def test_invalid_handle_is_refused_with_one_message(self):
        """Guards against forged or expired handles.

        All refusals have the same message.
        """
        good = handles.sign_handle(HANDLE, [OLD_KEY])
        key, payload, signature = good.split(".")
        other = handles.sign_handle(
            attrs.evolve(HANDLE, customer="other"), [OLD_KEY]
        )
        table = {
            "expired": (good, "acme", [OLD_KEY], 100.0),
            "other customer": (good, "other", [OLD_KEY], 99.0),
            "removed key": (good, "acme", [NEW_KEY], 99.0),
            "other secret": (
                good,
                "acme",
                [settings.HandleKey("k1", "x")],
                99.0,
            ),
            "payload of another handle": (
                f"{key}.{other.split('.')[1]}.{signature}",
                "other",
                [OLD_KEY],
                99.0,
            ),
            "other key id": (
                f"k2.{payload}.{signature}",
                "acme",
                [NEW_KEY],
                99.0,
            ),
            "truncated": (good[:-1], "acme", [OLD_KEY], 99.0),
            "empty": ("", "acme", [OLD_KEY], 99.0),
            "not ASCII": (good + "\u00e9", "acme", [OLD_KEY], 99.0),
            "no keys": (good, "acme", [], 99.0),
        }
        messages = set()
        for name, (text, customer, keys, now) in table.items():
            with self.subTest(name):
                with self.assertRaises(exceptions.UnknownHandle) as caught:
                    handles.open_handle(text, customer, keys, now=now)
                messages.add(str(caught.exception))
        self.assertEqual(1, len(messages))
