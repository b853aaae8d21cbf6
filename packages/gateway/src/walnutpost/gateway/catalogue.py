"""The functions and tenants that calls may name, and the numbers that stand for names in the Router."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

FUNCTION_BITS = 40  # size of a function's number
WORKER_BITS = 32  # size of a worker's number
DIGEST_BYTES = 8  # of a name; its number is the first bits of the digest
MIN_NEW_NAMES_BEFORE_CLEANUP = 256  # keeps cleanups rare even when few names are in use


class UnknownNameError(LookupError):
    """A call names a function or tenant that is not in the catalogue."""


@dataclass(frozen=True, slots=True)
class Function:
    """The configuration of a function.

    `class_index` is an index into `Settings.classes`. `memory_mb` is the memory of one copy, and
    `concurrency` the number of calls that one copy runs at a time. `load_time_us` is the time to load a copy,
    0 if not configured. `cost_hint_us` is the run time of a call on a standard core, None if not configured.
    `version` is reported with each answer.
    """

    name: str
    class_index: int
    memory_mb: float
    concurrency: float
    load_time_us: int = 0
    cost_hint_us: int | None = None
    version: str = "1"


@dataclass(frozen=True, slots=True)
class Catalogue:
    """The functions and tenants that calls may name.

    `functions` maps names to functions. `tenants` has the names in the order of `Settings.tenants`, and is
    empty if no tenants are configured. A call that names no tenant belongs to `default_tenant`. If that is
    None, the call raises UnknownNameError unless `allows_no_tenant`.

    If `is_dynamic`, `functions` may change between two lookups; a call keeps the definition that was valid
    when it arrived.
    """

    functions: Mapping[str, Function]
    tenants: tuple[str, ...] = ()
    default_tenant: str | None = None
    allows_no_tenant: bool = False  # accept calls that belong to none of the tenants
    is_dynamic: bool = False  # functions come and go, so the Gateway may forget their names

    def function(self, name: str) -> Function:
        """Return the function with this name; raise UnknownNameError if there is none."""
        try:
            return self.functions[name]
        except KeyError:
            raise UnknownNameError(f"no function {name!r}") from None

    def tenant_index(self, name: str | None) -> int:
        """Return the tenant's index in `Settings.tenants`.

        The index is 0 if no tenants are configured, and `len(tenants)` for a call that belongs to none of
        them. Raises UnknownNameError if the tenant is unknown, or if the call must name one and does not.
        """
        name = name if name is not None else self.default_tenant
        if not self.tenants:
            return 0
        if name is None and self.allows_no_tenant:
            return len(self.tenants)
        if name is None:
            raise UnknownNameError("no tenant named, and there is no default one")
        try:
            return self.tenants.index(name)
        except ValueError:
            raise UnknownNameError(f"no tenant {name!r}") from None


def name_hash(name: str, bits: int) -> int:
    """Return a number of `bits` bits that is derived from the name's hash.

    All front ends compute the same number, also after a restart, so their rendezvous hashing agrees.
    """
    digest = blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big") >> (8 * DIGEST_BYTES - bits)


class NumberedNames:
    """A two-way mapping between names and numbers.

    The initial `names` are permanent: `retain` never removes them. If two names hash to the same number
    (improbable with 2^32 or 2^40 numbers), the later name gets the next free number; front ends may then
    disagree on these two names only.
    """

    def __init__(self, bits: int, names: Iterable[str] = ()) -> None:
        self._bits = bits
        self._numbers: dict[str, int] = {}
        self._names: dict[int, str] = {}
        for name in sorted(names):
            self.number(name)
        self._permanent = frozenset(self._names)
        self._cleanup_threshold = self._compute_cleanup_threshold()

    def __len__(self) -> int:
        """Return how many names have a number."""
        return len(self._names)

    def _compute_cleanup_threshold(self) -> int:
        return 2 * len(self._names) + MIN_NEW_NAMES_BEFORE_CLEANUP

    @property
    def needs_cleanup(self) -> bool:
        """Whether names have more than doubled since the last `retain`, with many new ones among them."""
        return len(self._names) > self._cleanup_threshold

    def retain(self, wanted: Collection[int]) -> None:
        """Remove every name except the permanent ones and those with the numbers `wanted`.

        A removed name that is used again gets its former number, unless its hash collides with another's.
        """
        for number in [n for n in self._names if n not in wanted and n not in self._permanent]:
            del self._numbers[self._names.pop(number)]
        self._cleanup_threshold = self._compute_cleanup_threshold()

    def number(self, name: str) -> int:
        """Return the name's number; add the name at its first use."""
        known = self._numbers.get(name)
        if known is None:
            known = name_hash(name, self._bits)
            while known in self._names:
                known = (known + 1) % (1 << self._bits)
            self._numbers[name] = known
            self._names[known] = name
        return known

    def name(self, number: int) -> str:
        """Return the name with this number; raise KeyError if there is none."""
        return self._names[number]
