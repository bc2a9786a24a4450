"""Run a control host of a site: one configuration, announced targets."""
