"""Provide the checks, the test runner and the generators for developers and CI."""
