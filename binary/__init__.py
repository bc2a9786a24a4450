"""Build the one executable file that the product ships as."""
