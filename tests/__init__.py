"""Prove the promises under failure."""
