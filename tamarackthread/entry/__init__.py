"""Take callers' requests, choose targets and relay answers."""
