"""The encoding of every message; one module for each other side."""
