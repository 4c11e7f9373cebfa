"""Forwarding of requests to replicas: routes, replicas, attempts, and searches over shards."""
