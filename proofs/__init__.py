"""Tests of the guarantees on daemon processes under injected faults."""
