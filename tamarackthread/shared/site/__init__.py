"""Code that a site's control hosts and entries share."""
