"""Packages import down one list only, so that there is no circle and the library needs no I/O."""

from __future__ import annotations

import ast
from pathlib import Path

import walnutpost

ROOT = Path(walnutpost.__file__).parent
ORDER = [
    "cli",
    "trials",
    "standins",
    "node",
    "daemon",
    "fronts",
    "config",
    "store",
    "schedules",
    "links",
    "metering",
    "trust",
    "http",
    "loop",
    "gateway",
    "rules",
    "interface",
]
# trials.capture is a tap that the shell hands down; standins may use the worker protocol's words.
NO_IO = ["gateway", "metering", "schedules", "trust", "rules", "interface"]
IO_MODULES = {
    "socket",
    "os",
    "time",
    "select",
    "threading",
    "subprocess",
    "sqlite3",
    "greenlet",
    "asyncio",
    "secrets",
}


def imports(path: Path) -> set[str]:
    out: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            out |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            out.add("walnutpost." + ".".join(a.name for a in node.names) if node.level else node.module)
            if node.module == "walnutpost":
                out |= {f"walnutpost.{a.name}" for a in node.names}
    return out


def room(path: Path) -> str:
    return path.relative_to(ROOT).parts[0].removesuffix(".py")


def test_imports_go_one_way() -> None:
    wrong = []
    for path in ROOT.rglob("*.py"):
        here = room(path)
        if here not in ORDER:
            continue
        for name in imports(path):
            parts = name.split(".")
            ours = parts[0] == "walnutpost" and len(parts) > 1 and parts[1] in ORDER
            if ours and ORDER.index(parts[1]) < ORDER.index(here):
                wrong.append(f"{path.relative_to(ROOT)} imports {name}")
    assert not wrong


def test_what_decides_does_no_input_or_output() -> None:
    files = [p for p in ROOT.rglob("*.py") if room(p) in NO_IO] + [ROOT / "standins" / "model.py"]
    wrong = [(p.name, n) for p in files for n in imports(p) if n.split(".")[0] in IO_MODULES]
    assert len(files) > 8 and not wrong
