"""Policies as plain classes that need no socket or event loop."""
