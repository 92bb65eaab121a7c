"""Starts the entry host from the repository's root."""

import os
import pathlib
import sys

# No connection uses TLS; aiohttp would read all certificates of the system at
# its import, a fifth of the time to start.
os.environ["SSL_CERT_FILE"] = os.devnull

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from sesamefold.platform import daemon  # noqa: E402

daemon.main()
