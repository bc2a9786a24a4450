"""Simulate calls that crash targets."""
