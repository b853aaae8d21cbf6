"""Functions that can change at runtime, decoded from entries of the configuration store."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from immutables import Map

from walnutpost.config.entries import FUNCTION_PREFIX, decode_function
from walnutpost.configstore import Entry
from walnutpost.gateway import Function

MAX_DECODED_FUNCTIONS = 1024  # size of the cache of decoded entries, about 400 KB


@dataclass(frozen=True, slots=True)
class _DecodedEntry:
    entry: Entry
    function: Function


class DynamicFunctions(Mapping[str, Function]):
    """The functions of the configuration store at one revision, each decoded when it is first looked up.

    While the store has no functions, the `configured` ones are used. `classes` has the class names in the
    order of the gateway's settings.
    """

    def __init__(self, configured: Mapping[str, Function], classes: Sequence[str]) -> None:
        self._configured = configured
        self.classes = tuple(classes)
        self.entries: Map[str, Entry] = Map()
        self._function_count = 0
        self._decoded: OrderedDict[str, _DecodedEntry] = OrderedDict()

    def replace_all(self, entries: Map[str, Entry], count: int) -> None:
        """Replace all entries at once, so that readers see either the previous revision or the new one.

        `count` is the number of functions among the entries, each of which `decode` accepts.
        """
        self.entries = entries
        self._function_count = count

    def decode(self, name: str, entry: Entry) -> Function:
        """Decode the entry of a function. Raises ValueError if the front end can't apply it."""
        return decode_function(name, entry.value, self.classes)

    def __getitem__(self, name: str) -> Function:
        """Return a function. Raises KeyError."""
        if not self._function_count:
            return self._configured[name]
        decoded = self._decoded
        entry = self.entries.get(FUNCTION_PREFIX + name)
        cached = decoded.get(name)
        if entry is None:
            raise KeyError(name)
        if cached is not None and cached.entry is entry:
            decoded.move_to_end(name)
            return cached.function
        function = self.decode(name, entry)
        decoded[name] = _DecodedEntry(entry, function)
        decoded.move_to_end(name)
        if len(decoded) > MAX_DECODED_FUNCTIONS:
            decoded.popitem(last=False)
        return function

    def __iter__(self) -> Iterator[str]:
        """Iterate over the functions' names."""
        if not self._function_count:
            return iter(self._configured)
        return (key[len(FUNCTION_PREFIX) :] for key in self.entries if key.startswith(FUNCTION_PREFIX))

    def __len__(self) -> int:
        """Return the number of functions."""
        return self._function_count or len(self._configured)

    @property
    def decoded_count(self) -> int:
        """The number of decoded functions in the cache."""
        return len(self._decoded)
