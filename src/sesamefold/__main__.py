"""Runs a daemon or the command line by `python -m sesamefold`."""

from sesamefold import daemons

if __name__ == "__main__":
    daemons.main()
