"""Adapters between the product and its users' platform."""
