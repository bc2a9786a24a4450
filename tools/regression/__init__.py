"""Run the bench's sites on the current code and record the results."""
