"""Proofs of the guarantees by real processes under failure."""
