"""Fault soak: real daemons on one machine under faults from outside."""
