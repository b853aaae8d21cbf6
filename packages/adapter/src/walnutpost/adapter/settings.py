"""Parsing of the settings object, which simulator instances and nodes receive, to `interface.Settings`.

The keys are those of the simulator; unknown keys are ignored.
"""

from __future__ import annotations

import json
from typing import Any

from walnutpost import interface as api
from walnutpost.adapter.errors import SettingsError

EFFECTS = {"free": api.Effect.SAFE, "guarded": api.Effect.KEYED, "single_shot": api.Effect.UNSAFE}
DEDUP_SCOPES = {"all": api.DedupScope.ALL, "zone": api.DedupScope.ZONE, "cell": api.DedupScope.CELL}
REPORT_FIELD_NAMES = {
    "outstanding": "in_flight",
    "backlog": "queue",
    "utilization": "busy",
    "x0": "memory_tied",
    "x1": "loads",
}
"""The policy's names of the report fields, by their names in the settings."""


class SettingsSection:
    """One object of the settings. Every method may raise SettingsError, which names the full key."""

    def __init__(self, values: Any, path: str = "") -> None:
        """Wrap `values`, which must be an object. `path` is the prefix of its keys in error messages."""
        if not isinstance(values, dict):
            raise SettingsError(f"setting {path or 'root'} is not an object", path)
        self._values: dict[str, Any] = values
        self._path = path

    def require(self, key: str) -> Any:
        """Return a required value."""
        if self._values.get(key) is None:
            name = self._path + key
            raise SettingsError(f"setting {name} is missing", name)
        return self._values[key]

    def number(self, key: str) -> float:
        """Return an optional number; 0 if it is omitted, which means that it is not set."""
        value = self._values.get(key) or 0
        if not isinstance(value, int | float):
            name = self._path + key
            raise SettingsError(f"setting {name} is not a number", name)
        return value

    def integer(self, key: str) -> int:
        """Return an optional number, truncated to an integer; 0 if it is omitted."""
        return int(self.number(key))

    def require_integer(self, key: str) -> int:
        """Return a required number, truncated to an integer."""
        self.require(key)
        return self.integer(key)

    def text(self, key: str) -> str:
        """Return an optional string; empty if it is omitted."""
        return str(self._values.get(key) or "")

    def flag(self, key: str) -> bool:
        """Return an optional boolean; False if it is omitted."""
        return bool(self._values.get(key))

    def section(self, key: str) -> SettingsSection:
        """Return an optional nested object; an empty section if it is omitted."""
        return SettingsSection(self._values.get(key) or {}, f"{self._path}{key}.")

    def sections(self, key: str) -> list[SettingsSection]:
        """Return the objects of an optional list; none if it is omitted."""
        items = self._values.get(key) or []
        return [SettingsSection(item, f"{self._path}{key}[{i}].") for i, item in enumerate(items)]

    def items(self, key: str) -> list[Any]:
        """Return the items of an optional list; none if it is omitted."""
        return list(self._values.get(key) or [])


def parse_settings(text: bytes) -> api.Settings:
    """Parse the settings of an instance from JSON. Raise SettingsError if a value is missing or invalid."""
    try:
        root = SettingsSection(json.loads(text))
    except ValueError as error:
        raise SettingsError(f"settings are not JSON: {error}") from error
    root.require("Profiles")
    root.require("PolicyLimits")
    limits = root.section("PolicyLimits")
    rules = root.section("Guarantees")
    prices = root.section("Prices")
    extra = root.section("Extra")
    return api.Settings(
        classes=tuple(_parse_class(class_section) for class_section in root.sections("Profiles")),
        tenants=tuple(_parse_tenant(tenant_section) for tenant_section in root.sections("Realms")),
        limits=_parse_limits(limits),
        guards=_parse_guards(rules, extra),
        prices=_parse_prices(prices, extra),
        zone=root.integer("MyZone"),
        front_ends=root.integer("Siblings"),
        index=root.integer("SelfIndex"),
        tick_us=root.integer("Quantum"),
        keep_alive_us=extra.integer("KeepAlive"),
        load_order_timeout_us=extra.integer("OrderLimit"),
        may_order_loads=extra.flag("MayLoad"),
        loads_on_miss=extra.text("WhenAbsent") != "miss",
        reports_warmth=extra.flag("WarmNotes"),
        reports_crowd=extra.flag("NotesPeersInHand"),
        must_watch_endpoints=root.text("RegistryMode") == "ask",
        has_endpoint_weights=root.text("Weights") not in ("", "none"),
        weighs_priority_by_work=root.text("WorthBy") == "work",
        over_share_weight=root.number("OverShareWorth"),
        report_fields=_parse_report_fields(root.section("Reporting")),
        memory_mb_by_kind=tuple(float(mb) for mb in extra.items("MemoryMbByKind")),
    )


def _parse_class(class_section: SettingsSection) -> api.RequestClass:
    effect = class_section.require("Idempotency")
    if effect not in EFFECTS:
        raise SettingsError(f"setting Profiles Idempotency {effect!r} is not known", "Idempotency")
    return api.RequestClass(
        latency_objective_us=class_section.require_integer("Aim"),
        deadline_us=class_section.require_integer("HardLimit"),
        priority_weight=float(class_section.require("Importance")),
        late_priority_weight=class_section.number("LateWorth"),
        effect=EFFECTS[effect],
        dedup_scope=DEDUP_SCOPES.get(class_section.text("DedupScope"), api.DedupScope.CELL),
        repeat_window_us=class_section.integer("Window"),
        is_stream=class_section.flag("Stream"),
        objective_stretch=class_section.number("AimStretch"),
    )


def _parse_tenant(tenant_section: SettingsSection) -> api.Tenant:
    return api.Tenant(tenant_section.number("Share"), tenant_section.number("QuotaPerS"))


def _parse_report_fields(reporting: SettingsSection) -> tuple[str, ...]:
    fields = reporting.items("Fields")
    return tuple(REPORT_FIELD_NAMES.get(field, str(field)) for field in fields)


def _parse_limits(limits: SettingsSection) -> api.Limits:
    return api.Limits(
        may_cancel=limits.flag("Cancel"),
        may_probe=limits.flag("Probes"),
        may_run_parallel_attempts=limits.flag("ParallelTries"),
        may_send_retry_after=limits.flag("RetryAfter"),
        max_attempts=limits.require_integer("MaxAttempts"),
        max_retry_after_us=limits.integer("MaxRetryAfter"),
    )


def _parse_guards(rules: SettingsSection, extra: SettingsSection) -> api.Guards:
    return api.Guards(
        answer_slack_us=rules.integer("AnswerSlack"),
        drain_grace_us=rules.integer("DrainGrace"),
        warm_up_us=rules.integer("Cold"),
        start_capacity=rules.number("StartCapacity"),
        overload_factor=rules.number("OverloadFactor"),
        overload_window_us=rules.integer("OverloadFor"),
        watch_within_us=rules.integer("AskWithin"),
        free_load_orders=extra.number("FreeLoads"),
        load_orders_per_request=extra.number("LoadShare"),
        load_order_window_us=extra.integer("LoadWindow"),
    )


def _parse_prices(prices: SettingsSection, extra: SettingsSection) -> api.Prices:
    return api.Prices(
        cross_zone=prices.number("CrossZone"),
        waste=prices.number("Waste"),
        probe=prices.number("Probe"),
        fetch=prices.number("Origin"),
        late_failure=prices.number("LateFail"),
        idle_copies=extra.number("PriceOfIdle"),
    )
