"""Stand-ins of the platform for the cases of this review."""
