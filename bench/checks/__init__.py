"""Check recorded histories against what the product promises."""
