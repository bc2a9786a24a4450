"""Break processes and connections under load and record what happens."""
