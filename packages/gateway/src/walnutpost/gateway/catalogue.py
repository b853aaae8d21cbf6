"""What can be called, and the numbers that the Router knows it by."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b

FUNCTION_BITS, WORKER_BITS = 40, 32
SPARE_NAMES = 256  # beyond twice the wanted ones, so that a look is paid for by many new names


class UnknownName(LookupError):
    """A function or tenant that isn't in the catalogue."""


@dataclass(frozen=True, slots=True)
class Function:
    """`class_index` points into Settings.classes; memory of one copy in MB, lanes are calls at a time in
    one copy, load_time in microseconds (0 where not told), cost in microseconds of a standard core or
    None.
    """

    name: str
    class_index: int
    memory_mb: float
    lanes: float
    load_time: int = 0
    cost: int | None = None
    version: str = "1"


@dataclass(frozen=True, slots=True)
class Catalogue:
    """`functions` may be another at each look where `changing`; a call goes by the one it arrived under."""

    functions: Mapping[str, Function]
    tenants: tuple[str, ...] = ()
    default_tenant: str | None = None
    unnamed: bool = False  # whether a call may come without a tenant where there are some: it is none of them
    changing: bool = False  # then no function's name is kept for good

    def function(self, name: str) -> Function:
        try:
            return self.functions[name]
        except KeyError:
            raise UnknownName(f"no function {name!r}") from None

    def tenant_index(self, name: str | None) -> int:
        """Its place in the settings' list, beyond its end for a call of no tenant; 0 where there are none."""
        name = name if name is not None else self.default_tenant
        if not self.tenants:
            return 0
        if name is None and self.unnamed:
            return len(self.tenants)
        if name is None:
            raise UnknownName("no tenant named, and there is no default one")
        try:
            return self.tenants.index(name)
        except ValueError:
            raise UnknownName(f"no tenant {name!r}") from None


def number_of(name: str, bits: int) -> int:
    """The same at every front end and every start, since the shared hash order is made of it."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big") >> (64 - bits)


class Numbers:
    """Names to numbers and back. Two names with one number (of 2^32 or 2^40: a matter of luck) are told
    apart by counting on, in the order in which they come: front ends may then differ on those two alone."""

    def __init__(self, bits: int, names: Iterable[str] = ()) -> None:
        self._bits = bits
        self._numbers: dict[str, int] = {}
        self._names: dict[int, str] = {}
        for name in sorted(names):
            self.number(name)
        self._lasting = frozenset(self._names)
        self._next_look = self._room()

    def _room(self) -> int:
        return 2 * len(self._names) + SPARE_NAMES

    @property
    def crowded(self) -> bool:
        """Twice as many as were wanted at the last `keep`: time to look which are still wanted."""
        return len(self._names) > self._next_look

    def keep(self, wanted: Collection[int]) -> None:
        """Forgets all others but those of the start. A name that comes again gets its number again."""
        for number in [n for n in self._names if n not in wanted and n not in self._lasting]:
            del self._numbers[self._names.pop(number)]
        self._next_look = self._room()

    def number(self, name: str) -> int:
        known = self._numbers.get(name)
        if known is None:
            known = number_of(name, self._bits)
            while known in self._names:
                known = (known + 1) % (1 << self._bits)
            self._numbers[name], self._names[known] = known, name
        return known

    def name(self, number: int) -> str:
        return self._names[number]
