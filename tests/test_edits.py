"""Tests of edits of single keys in the operator's text."""

import unittest

from sesamefold import edits
from sesamefold import exceptions


class EditsTest(unittest.TestCase):
    def test_edit_changes_only_the_key(self) -> None:
        """Guards against an edit that moves or removes other text."""
        head = "# é\U0001f600 \nregions: {r: }\ndata_centres:\n"
        for before, after in (
            (
                "  a: {region: r, in: true} # x\n",
                "  a: {region: r, in: false} # x\n",
            ),
            ("  a: {region: r}", "  a: {in: false, region: r}"),
            ("  a: &x {\n region: r}", "  a: &x {in: false, \n region: r}"),
            (
                "  a:\n    region: r # x\n",
                "  a:\n    in: false\n    region: r # x\n",
            ),
            (
                "  a:\n      in: TRUE # x\n      region: r",
                "  a:\n      in: false # x\n      region: r",
            ),
            (
                "  'a': {'in': true, region: r}",
                "  'a': {'in': false, region: r}",
            ),
            (
                "  a: {region: r, in: true}\n  b: {region: r, in: true}",
                "  a: {region: r, in: false}\n  b: {region: r, in: true}",
            ),
            ("  a: {region: r, in: false}", "  a: {region: r, in: false}"),
        ):
            for mark in ("", "\ufeff"):
                with self.subTest(before, mark=mark):
                    self.assertEqual(
                        mark + head + after,
                        edits.set_in_service(mark + head + before, "a", False),
                    )

    def test_edit_of_shared_entry_is_refused(self) -> None:
        """Guards against taking another data centre out of service too.

        This happens when both share an entry or a value by a YAML alias.
        """
        head = "regions: {r: }\ndata_centres:\n"
        for text in (
            "  a: &x {region: r}\n  b: *x",
            "  a: {region: r, in: &x true}\n  b: {region: r, in: *x}",
            "  b: {region: r, in: &x true}\n  a: {region: r, in: *x}",
        ):
            with self.subTest(text):
                with self.assertRaises(exceptions.ConfigurationError):
                    edits.set_in_service(head + text, "a", False)
