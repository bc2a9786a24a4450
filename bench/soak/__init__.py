"""Break real processes of a site at random and check what is promised."""
