"""Run the agent beside one target: admission, load reports and orders."""
