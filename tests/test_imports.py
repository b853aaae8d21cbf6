"""Packages import down one list only, so that there is no circle and the library needs no I/O."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import walnutpost

ROOT = Path(walnutpost.__file__).parent
ORDER = [
    "cli",
    "trials",
    "standins",
    "node",
    "daemon",
    "agent",
    "keeper",
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
    "fleet",
    "agreement",
    "rules",
    "interface",
]
# trials.capture is a tap that the shell hands down; standins may use the worker protocol's words.
NO_IO = ["agreement", "fleet", "gateway", "metering", "schedules", "trust", "rules", "interface"]
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


def test_a_node_needs_only_what_its_requirements_name() -> None:
    """Its build installs requirements.txt alone; protobuf and pydantic would cost tens of MB besides."""
    pins = dict(line.split("==") for line in (ROOT.parent / "requirements.txt").read_text().split())
    declared = (ROOT.parent / "pyproject.toml").read_text()
    assert all(f'"{name}=={version}"' in declared for name, version in pins.items())
    script = "import sys, walnutpost.node.run as _; print(*{m.partition('.')[0] for m in sys.modules})"
    loaded = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    ours = {"walnutpost", "dns", *pins}
    paid = {"google", "pydantic", "structlog", "httptools", "cryptography", "sqlite3", "xds"}
    assert ours - {"dnspython"} <= set(loaded.stdout.split()) and not paid & set(loaded.stdout.split())
