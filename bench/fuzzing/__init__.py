"""Feed nonsense to whatever reads bytes from outside or from disk."""
