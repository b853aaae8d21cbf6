"""The same examples at each run, and no verdict by the clock of a busy machine."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "same", derandomize=True, deadline=None, suppress_health_check=[HealthCheck.too_slow]
)
settings.load_profile("same")
