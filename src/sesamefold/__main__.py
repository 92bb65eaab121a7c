"""Runs the command line by `python -m sesamefold`."""

from sesamefold import commands

if __name__ == "__main__":
    commands.main()
