"""Plain data, without behaviour that waits, decides or encodes."""
