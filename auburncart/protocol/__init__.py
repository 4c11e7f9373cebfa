"""The encoding of all messages, with one module for each communication partner."""
