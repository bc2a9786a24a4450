"""Emulate the engines and services that targets run."""
