"""Daemons that assemble the library's layers into processes."""
