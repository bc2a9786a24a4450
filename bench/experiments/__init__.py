"""Hold one module for each experiment."""
