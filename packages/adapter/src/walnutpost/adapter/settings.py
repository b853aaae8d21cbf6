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
        aim=told.needed_whole("Aim"),
        deadline=told.needed_whole("HardLimit"),
        worth=float(told.need("Importance")),
        late_worth=told.number("LateWorth"),
        effect=EFFECTS[effect],
        group=GROUPS.get(told.word("DedupScope"), api.Group.CELL),
        window=told.whole("Window"),
        stream=told.flag("Stream"),
        aim_stretch=told.number("AimStretch"),
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
            cancel=limits.flag("Cancel"),
            probes=limits.flag("Probes"),
            parallel_tries=limits.flag("ParallelTries"),
            retry_after=limits.flag("RetryAfter"),
            max_attempts=limits.needed_whole("MaxAttempts"),
            max_retry_after=limits.whole("MaxRetryAfter"),
        ),
        guards=api.Guards(
            answer_slack=rules.whole("AnswerSlack"),
            drain_grace=rules.whole("DrainGrace"),
            cold_for=rules.whole("Cold"),
            start_capacity=rules.number("StartCapacity"),
            overload_factor=rules.number("OverloadFactor"),
            overload_for=rules.whole("OverloadFor"),
            ask_within=rules.whole("AskWithin"),
            free_loads=extra.number("FreeLoads"),
            load_share=extra.number("LoadShare"),
            load_window=extra.whole("LoadWindow"),
        ),
        prices=api.Prices(
            cross_zone=prices.number("CrossZone"),
            waste=prices.number("Waste"),
            probe=prices.number("Probe"),
            fetch=prices.number("Origin"),
            late_fail=prices.number("LateFail"),
            idle_copies=extra.number("PriceOfIdle"),
        ),
        zone=told.whole("MyZone"),
        front_ends=told.whole("Siblings"),
        index=told.whole("SelfIndex"),
        tick=told.whole("Quantum"),
        keep_alive=extra.whole("KeepAlive"),
        order_timeout=extra.whole("OrderLimit"),
        may_load=extra.flag("MayLoad"),
        loads_on_miss=extra.word("WhenAbsent") != "miss",
        tells_warmth=extra.flag("WarmNotes"),
        tells_crowd=extra.flag("NotesPeersInHand"),
        must_ask_list=told.word("RegistryMode") == "ask",
        weighted=told.word("Weights") not in ("", "none"),
        worth_by_work=told.word("WorthBy") == "work",
        over_share_worth=told.number("OverShareWorth"),
        report_fields=tuple(FIELD_NAMES.get(f, str(f)) for f in told.part("Reporting").items("Fields")),
        memory_by_kind=tuple(float(mb) for mb in extra.items("MemoryMbByKind")),
    )
