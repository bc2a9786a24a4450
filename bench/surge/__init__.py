"""Hold the parts of the surge experiment."""
