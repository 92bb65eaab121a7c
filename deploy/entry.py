"""Starts an entry host from a checkout of the repository."""

import gc
import os
import pathlib
import signal
import sys

# Until the host can reload its settings; by default the signal would end the
# process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# No connection uses TLS. Importing aiohttp would otherwise load all of the
# system's certificates, which takes a fifth of the start-up time.
os.environ["SSL_CERT_FILE"] = os.devnull

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

# What the imports allocate stays, so that collections meanwhile, a quarter of
# the start-up time, and later ones of the same objects would find nothing.
gc.disable()

from sesamefold.platform import daemon  # noqa: E402

gc.freeze()
gc.enable()

daemon.main()
