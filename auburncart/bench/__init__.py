"""Measurements of the decisions on a virtual clock, and of the control cost."""
