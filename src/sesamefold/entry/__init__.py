"""Entry host: routing, limits, retries and weight rollouts in one process."""
