"""Record what callers of a replicated log see under faults, and check it."""
