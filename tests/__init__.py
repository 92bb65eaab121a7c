"""Tests of sesamefold."""
