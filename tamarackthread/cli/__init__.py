"""Offer the roles and the operator commands on the command line."""
