"""Guard one target: gate, reports, drain and orders."""
