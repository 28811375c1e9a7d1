"""Benchmarks, run by hand."""
