"""Balance requests across expert-parallel model groups and plain services."""

VERSION = '0.1.0'
