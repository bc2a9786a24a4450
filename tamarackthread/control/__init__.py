"""Replicate configuration, leases and claims on the few hosts with a disk."""
