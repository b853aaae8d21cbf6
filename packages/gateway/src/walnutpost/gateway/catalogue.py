"""The functions and tenants that can be called, and the numbers by which the Router knows names."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

FUNCTION_BITS = 40
WORKER_BITS = 32
NUMBER_BYTES = 8  # of the digest that a number is the first bits of
SPARE_NAMES = 256  # beyond twice the wanted ones, so that a cleanup comes after many new names only


class UnknownNameError(LookupError):
    """A function or tenant that is not in the catalogue."""


@dataclass(frozen=True, slots=True)
class Function:
    """The configuration of a function.

    `class_index` points into Settings.classes; `memory_mb` is of one copy; `concurrency` is calls at a time
    in one copy; `load_time_us` is 0 and `cost_hint_us` (on a standard core) None where not configured.
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
    """The functions and tenants that can be named.

    If `is_dynamic`, `functions` may differ at each reading; a call keeps the one that it arrived under.
    """

    functions: Mapping[str, Function]
    tenants: tuple[str, ...] = ()
    default_tenant: str | None = None
    allows_no_tenant: bool = False  # if there are tenants, a call without one belongs to none of them
    is_dynamic: bool = False  # then no function's name is remembered for good

    def function(self, name: str) -> Function:
        """Return the function; raise UnknownNameError if there is none of the name."""
        try:
            return self.functions[name]
        except KeyError:
            raise UnknownNameError(f"no function {name!r}") from None

    def tenant_index(self, name: str | None) -> int:
        """Return the tenant's place in the settings' list.

        It is `len(tenants)` for a call without a tenant, 0 if there are no tenants. Raises UnknownNameError.
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


def number_of(name: str, bits: int) -> int:
    """Return the name's number: the same at every front end and start, so that their hash orders agree."""
    digest = blake2b(name.encode(), digest_size=NUMBER_BYTES).digest()
    return int.from_bytes(digest, "big") >> (8 * NUMBER_BYTES - bits)


class NumberedNames:
    """Names to numbers and back.

    `names` are never forgotten. If two names hash to one number (of 2^32 or 2^40: improbable), the later one
    gets the next free number: front ends may then differ on those two alone.
    """

    def __init__(self, bits: int, names: Iterable[str] = ()) -> None:
        self._bits = bits
        self._numbers: dict[str, int] = {}
        self._names: dict[int, str] = {}
        for name in sorted(names):
            self.number(name)
        self._permanent = frozenset(self._names)
        self._cleanup_above = self._cleanup_limit()

    def __len__(self) -> int:
        """Return how many names are remembered."""
        return len(self._names)

    def _cleanup_limit(self) -> int:
        return 2 * len(self._names) + SPARE_NAMES

    @property
    def needs_cleanup(self) -> bool:
        """Whether there are twice as many names as were wanted at the last `retain`."""
        return len(self._names) > self._cleanup_above

    def retain(self, wanted: Collection[int]) -> None:
        """Forget every name except `wanted` and the permanent ones.

        A name that comes again gets its number again, unless its hash collides with another.
        """
        for number in [n for n in self._names if n not in wanted and n not in self._permanent]:
            del self._numbers[self._names.pop(number)]
        self._cleanup_above = self._cleanup_limit()

    def number(self, name: str) -> int:
        """Return the name's number, which is derived from its hash at its first use."""
        known = self._numbers.get(name)
        if known is None:
            known = number_of(name, self._bits)
            while known in self._names:
                known = (known + 1) % (1 << self._bits)
            self._numbers[name] = known
            self._names[known] = name
        return known

    def name(self, number: int) -> str:
        """Return the name of a number that was given."""
        return self._names[number]
