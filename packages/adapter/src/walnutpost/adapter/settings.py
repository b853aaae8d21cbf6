"""The settings object, as an instance of the simulator and a node get it, to `interface.Settings`."""

from __future__ import annotations

import json
from typing import Any

from walnutpost import interface as api

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
GROUPS = {"all": api.Group.ALL, "zone": api.Group.ZONE, "cell": api.Group.CELL}
FIELD_NAMES = {
    "outstanding": "in_flight",
    "backlog": "queue",
    "utilization": "busy",
    "x0": "memory_tied",
    "x1": "loads",
}


class SettingsError(Exception):
    """An instance's settings lack or misstate something that is needed."""


class Told:
    """One level of the settings; a lack is reported with the key's full name."""

    def __init__(self, values: Any, path: str = "") -> None:
        if not isinstance(values, dict):
            raise SettingsError(f"setting {path or 'root'} is not an object")
        self._values: dict[str, Any] = values
        self._path = path

    def need(self, key: str) -> Any:
        if self._values.get(key) is None:
            raise SettingsError(f"setting {self._path}{key} is missing")
        return self._values[key]

    def number(self, key: str) -> float:
        """A figure that may be left out: zero then, which everywhere means 'not told'."""
        value = self._values.get(key) or 0
        if not isinstance(value, int | float):
            raise SettingsError(f"setting {self._path}{key} is not a number")
        return value

    def whole(self, key: str) -> int:
        return int(self.number(key))

    def needed_whole(self, key: str) -> int:
        self.need(key)
        return self.whole(key)

    def word(self, key: str) -> str:
        return str(self._values.get(key) or "")

    def flag(self, key: str) -> bool:
        return bool(self._values.get(key))

    def part(self, key: str) -> Told:
        return Told(self._values.get(key) or {}, f"{self._path}{key}.")

    def parts(self, key: str) -> list[Told]:
        return [Told(v, f"{self._path}{key}[{i}].") for i, v in enumerate(self._values.get(key) or [])]

    def items(self, key: str) -> list[Any]:
        return list(self._values.get(key) or [])


def _request_class(told: Told) -> api.RequestClass:
    effect = told.need("Idempotency")
    if effect not in EFFECTS:
        raise SettingsError(f"setting Profiles Idempotency {effect!r} is not known")
    return api.RequestClass(
        latency_objective_us=told.needed_whole("Aim"),
        deadline_us=told.needed_whole("HardLimit"),
        priority_weight=float(told.need("Importance")),
        late_priority_weight=told.number("LateWorth"),
        effect=EFFECTS[effect],
        group=GROUPS.get(told.word("DedupScope"), api.Group.CELL),
        repeat_window_us=told.whole("Window"),
        is_stream=told.flag("Stream"),
        objective_stretch=told.number("AimStretch"),
    )


def parse_settings(text: bytes) -> api.Settings:
    try:
        told = Told(json.loads(text))
    except ValueError as error:
        raise SettingsError(f"settings are not JSON: {error}") from error
    told.need("Profiles")
    told.need("PolicyLimits")
    limits, rules, prices, extra = (
        told.part(key) for key in ("PolicyLimits", "Guarantees", "Prices", "Extra")
    )
    return api.Settings(
        classes=tuple(_request_class(profile) for profile in told.parts("Profiles")),
        tenants=tuple(api.Tenant(r.number("Share"), r.number("QuotaPerS")) for r in told.parts("Realms")),
        limits=api.Limits(
            may_cancel=limits.flag("Cancel"),
            may_probe=limits.flag("Probes"),
            may_run_parallel_attempts=limits.flag("ParallelTries"),
            may_send_retry_after=limits.flag("RetryAfter"),
            max_attempts=limits.needed_whole("MaxAttempts"),
            max_retry_after_us=limits.whole("MaxRetryAfter"),
        ),
        guards=api.Guards(
            answer_slack_us=rules.whole("AnswerSlack"),
            drain_grace_us=rules.whole("DrainGrace"),
            warm_up_us=rules.whole("Cold"),
            start_capacity=rules.number("StartCapacity"),
            overload_factor=rules.number("OverloadFactor"),
            overload_window_us=rules.whole("OverloadFor"),
            watch_within_us=rules.whole("AskWithin"),
            free_load_orders=extra.number("FreeLoads"),
            load_orders_per_request=extra.number("LoadShare"),
            load_order_window_us=extra.whole("LoadWindow"),
        ),
        prices=api.Prices(
            cross_zone=prices.number("CrossZone"),
            waste=prices.number("Waste"),
            probe=prices.number("Probe"),
            fetch=prices.number("Origin"),
            late_failure=prices.number("LateFail"),
            idle_copies=extra.number("PriceOfIdle"),
        ),
        zone=told.whole("MyZone"),
        front_ends=told.whole("Siblings"),
        index=told.whole("SelfIndex"),
        tick_us=told.whole("Quantum"),
        keep_alive_us=extra.whole("KeepAlive"),
        load_order_timeout_us=extra.whole("OrderLimit"),
        may_order_loads=extra.flag("MayLoad"),
        loads_on_miss=extra.word("WhenAbsent") != "miss",
        reports_warmth=extra.flag("WarmNotes"),
        reports_crowd=extra.flag("NotesPeersInHand"),
        must_watch_endpoints=told.word("RegistryMode") == "ask",
        has_weights=told.word("Weights") not in ("", "none"),
        weighs_priority_by_work=told.word("WorthBy") == "work",
        over_share_weight=told.number("OverShareWorth"),
        report_fields=tuple(FIELD_NAMES.get(f, str(f)) for f in told.part("Reporting").items("Fields")),
        memory_mb_by_kind=tuple(float(mb) for mb in extra.items("MemoryMbByKind")),
    )
