"""The limit on TLS handshakes."""

from __future__ import annotations

from walnutpost.certificates import HandshakeLimiter, HandshakeLimits


def test_handshakes_are_limited_for_each_worker_and_in_all_and_more_after_failures() -> None:
    limiter = HandshakeLimiter(HandshakeLimits(2, 3, 100, 350))
    begun = [limiter.try_begin(0, worker) for worker in ("a", "a", "a", "b", "b", "c")]
    assert begun == [True, True, False, True, False, False]
    limiter.record_success("b")
    limiter.record_failure(0, "a")
    limiter.record_failure(0, "a")
    assert limiter.in_flight == 0
    # The backoff doubles with each failure, and one at a time begins until one succeeds.
    assert not limiter.try_begin(199, "a")
    assert limiter.try_begin(200, "a")
    assert not limiter.try_begin(200, "a")
    limiter.record_failure(200, "a")
    assert not limiter.try_begin(549, "a")
    assert limiter.try_begin(550, "a")
    limiter.record_success("a")
    assert limiter.try_begin(551, "a")
    assert limiter.try_begin(551, "a")
    for _ in range(2):
        limiter.record_failure(551, "a")
    limiter.forget("a")
    assert limiter.try_begin(552, "a")


def test_a_handshake_that_was_abandoned_frees_its_place_and_starts_no_backoff() -> None:
    limiter = HandshakeLimiter(HandshakeLimits(1, 1, 100, 350))
    assert limiter.try_begin(0, "a")
    assert not limiter.try_begin(0, "a")
    limiter.record_abandoned("a")
    assert limiter.in_flight == 0
    assert limiter.try_begin(0, "a")
