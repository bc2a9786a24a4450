"""Keep the ranks of a site's groups even, by one owner at a time."""
