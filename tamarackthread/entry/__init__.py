"""Accept callers' requests, route them to targets and relay responses."""
