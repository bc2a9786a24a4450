"""Translate between the product and the users' platform, and nothing else.

The platform's names stand in this folder only.  Decisions, state and recovery
are the product's.
"""
