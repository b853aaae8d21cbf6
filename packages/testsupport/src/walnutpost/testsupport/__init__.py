"""What the tests of several members share: fixtures, fakes, simulations, samples and golden files.

For tests and benchmarks only. No other member may depend on it, and it is never shipped
(tests/test_test_layout.py).
"""
