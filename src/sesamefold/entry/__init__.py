"""The entry host as one process: routing, limits, retries and orders."""
