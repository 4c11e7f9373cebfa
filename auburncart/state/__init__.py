"""Plain data types, without I/O, decisions or encoding."""
