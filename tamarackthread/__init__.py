"""Balance requests across expert-parallel model groups and plain services."""
