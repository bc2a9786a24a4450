"""Emulate engines, drive load and run experiments."""
