"""The `agreement` section: the fleet that a front end is a member of."""

from __future__ import annotations

from pydantic import Field, field_validator, model_validator

from walnutpost.config.base import Name, StrictModel, parse_address


class MembershipConfig(StrictModel):
    """The fleet that this front end is a member of, under the name `member`. No call waits for it.

    `keepers` are the addresses of the control plane, which sends the list of draining workers. `relays` serve
    the agreed settings; `relay_zones` are the zones of those where they are known: relays of `front.zone` are
    preferred.
    """

    keepers: dict[Name, str] = {}
    relays: dict[Name, str] = {}
    relay_zones: dict[Name, Name] = {}
    member: Name
    report_interval_ms: float = Field(500.0, alias="report_ms", ge=10, le=60_000)

    @model_validator(mode="after")
    def _check_names(self) -> MembershipConfig:
        if not self.keepers and not self.relays:
            raise ValueError("keepers, relays or both")
        if unknown := sorted(set(self.relay_zones) - set(self.relays)):
            raise ValueError(f"relay_zones of relays; {', '.join(unknown)} is none of them")
        return self

    @field_validator("keepers", "relays")
    @classmethod
    def _check_addresses(cls, addresses: dict[str, str]) -> dict[str, str]:
        for address in addresses.values():
            parse_address(address)
        return addresses
