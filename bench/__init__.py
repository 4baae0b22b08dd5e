"""Replays of seeded workloads against the schedulers."""
