"""Hold decisions as plain classes that need no socket."""
