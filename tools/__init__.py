"""Provide checks, the test runner and generators for developers and CI."""
