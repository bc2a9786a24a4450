"""Hold what a site's control hosts and entries share."""
