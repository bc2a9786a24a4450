"""Measure how accepted changes reach every node."""
