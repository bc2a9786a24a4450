"""Hold what developers and CI run: checks, the test runner, generators."""
