"""Benchmarks of the decisions on a virtual clock, and of the cost of the control plane."""
