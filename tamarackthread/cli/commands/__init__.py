"""Define the commands, one module for each part."""
