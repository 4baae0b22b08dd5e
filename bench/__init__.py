"""Benchmarks: replays of seeded workloads and cells of real processes."""
