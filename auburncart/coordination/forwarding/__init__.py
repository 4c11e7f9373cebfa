"""Passing requests on to replicas: routes, replicas, attempts, and searches over shards."""
