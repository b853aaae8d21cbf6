"""Compatibility with watchers and relays of other versions: headers and codings stay.

The messages are the configuration store's, and have their golden forms there.
"""

from __future__ import annotations

from importlib import import_module
from pathlib import Path
from pkgutil import iter_modules

import pytest

from walnutpost import relay, watch
from walnutpost.testsupport.golden.samples import Golden, as_json, structs_of
from walnutpost.watch import connection, pages, serving

GOLDEN = Golden(
    Path(__file__).parent / "golden" / "watch.json",
    "Headers and codings of watches, by what they tell.",
    {
        "names": as_json(
            {
                "held": serving.WAITED_HEADER,
                "coding": pages.CONTENT_CODING,
                "request headers": connection.REQUEST_HEADERS,
            }
        )
    },
)


@pytest.mark.parametrize("name", GOLDEN.forms)
def test_the_names_of_a_watch_stay(name: str) -> None:
    GOLDEN.check_written(name)


def test_watches_and_relays_have_no_messages() -> None:
    modules = [
        import_module(f"{package.__name__}.{module.name}")
        for package in (relay, watch)
        for module in iter_modules(package.__path__)
    ]
    assert {serving, connection} <= {*modules}
    assert not [kind for module in modules for kind in structs_of(module)]
