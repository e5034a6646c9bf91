"""Runs an example deployment with stand-ins under load and faults."""
