"""Fault soak: daemon processes on one machine under injected faults."""
