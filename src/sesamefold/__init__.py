"""Serving system for prompts that return after long gaps."""

__version__ = "0.1.0"
