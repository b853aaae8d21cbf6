"""Commands by which an agent reports on its instance to the control plane."""

from __future__ import annotations

from walnutpost.fleet.agent_effects import EffectQueue, SendCommand
from walnutpost.fleet.agent_inputs import OperatorOrder, ProcessReady
from walnutpost.fleet.agent_instance import ManagedInstance
from walnutpost.fleet.commands import (
    AbandonPermit,
    BeginPermit,
    CompletePermit,
    RecordManualChange,
    RegisterMember,
)


class InstanceReports:
    """Emits commands in the name of one instance and its agent."""

    def __init__(self, instance: ManagedInstance, effects: EffectQueue) -> None:
        self._instance = instance
        self._effects = effects

    def register(self, ready: ProcessReady, version: str) -> None:
        """Report a process that became ready without a permit."""
        instance = self._instance
        command = RegisterMember(
            instance.member,
            instance.kind,
            instance.zone,
            ready.incarnation,
            version,
            instance.follows_endpoints,
            ready.address,
        )
        self._effects.emit(SendCommand(command))

    def begin(self, permit: str) -> None:
        """Report that the process is about to be taken out under a permit."""
        self._effects.emit(SendCommand(BeginPermit(permit, self._instance.agent)))

    def abandon(self, permit: str) -> None:
        """Report that a permit will not be used."""
        self._effects.emit(SendCommand(AbandonPermit(permit, self._instance.agent)))

    def complete(self, permit: str, ready: ProcessReady, version: str, failure: str = "") -> None:
        """Report that the process is ready again; `failure`: why it does not run the plan's version."""
        command = CompletePermit(
            permit, self._instance.agent, ready.incarnation, version, failure, ready.address
        )
        self._effects.emit(SendCommand(command))

    def record_manual_change(self, order: OperatorOrder, version: str) -> None:
        """Report a restart that an operator ordered without a permit."""
        change = RecordManualChange(
            self._instance.member, order.operator, order.reason, version, order.ordered_at_s
        )
        self._effects.emit(SendCommand(change))
