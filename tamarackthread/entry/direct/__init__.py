"""Serve callers of a site by calling its targets directly."""
