"""When certificate files are read again, and when their expiry is warned of."""

from __future__ import annotations

from walnutpost.certificates import DAY_US, FileState, ReloadTracker

BEFORE, AFTER = [FileState(1, 1, 1)], [FileState(2, 1, 1)]


def test_an_expiry_is_warned_of_daily_from_a_third_of_the_lifetime_then_hourly() -> None:
    tracker = ReloadTracker(BEFORE, 0, 90 * DAY_US)
    hours = range(92 * 24)
    warned_days = [hour / 24 for hour in hours if tracker.expiry_warning(hour * DAY_US // 24) is not None]
    assert warned_days[:3] == [60, 61, 62]
    assert warned_days[29:32] == [89, 89 + 1 / 24, 89 + 2 / 24]
    assert warned_days[-1] > 91


def test_files_that_changed_are_read_once() -> None:
    tracker = ReloadTracker(BEFORE, 0, 90 * DAY_US)
    assert not tracker.should_reload(BEFORE)
    assert tracker.should_reload(AFTER)
    assert not tracker.should_reload(AFTER)


def test_after_a_reload_the_new_validity_counts() -> None:
    tracker = ReloadTracker(BEFORE, 0, 90 * DAY_US)
    tracker.record_reload(0, 400 * DAY_US)
    assert tracker.expiry_warning(92 * DAY_US) is None
