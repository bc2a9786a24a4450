"""Command line to run the roles and to operate them."""
