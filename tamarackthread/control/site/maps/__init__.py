"""Balance the expert maps of a site's groups, under one owner at a time."""
