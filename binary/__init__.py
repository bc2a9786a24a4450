"""Build the single executable file of the release."""
