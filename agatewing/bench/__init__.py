"""Measurements of cost: of the entry, and slopes for the capacity page."""
