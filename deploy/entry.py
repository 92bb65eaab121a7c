"""Starts an entry host from a checkout of the repository."""

import os
import pathlib
import sys

# No connection uses TLS. Importing aiohttp would otherwise load all of the
# system's certificates, which takes a fifth of the start-up time.
os.environ["SSL_CERT_FILE"] = os.devnull

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from sesamefold.platform import daemon  # noqa: E402

daemon.main()
