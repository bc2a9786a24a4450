"""Code for every role: errors, links, settings, logs and metrics."""
