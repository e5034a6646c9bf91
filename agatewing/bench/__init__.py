"""Benchmarks of the entry, and cost slopes for the capacity page."""
