"""Starts the entry host from the repository's root."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from sesamefold.platform import daemon  # noqa: E402

daemon.main()
