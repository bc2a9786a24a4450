"""Hold what every role needs: errors, links, settings, logs and metrics."""
