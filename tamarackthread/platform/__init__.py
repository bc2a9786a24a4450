"""Adapt the load balancer to the platform's protocols and formats, whose names
appear in this package only.
"""
