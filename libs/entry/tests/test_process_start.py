"""Hosts that start while callers wait: modules that only duties need come later."""

import importlib
import subprocess
import sys

import gypsumusher_coordination as coordination


def test_start_imports_no_modules_of_duties():
    """Each of them delays the first response after a loss of all hosts."""
    program = "import sys, gypsumusher_entry.host; print(*sys.modules)"
    command = [sys.executable, "-c", program]
    found = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert "gypsumusher_entry.host" in found.split()
    for module in ("coordination.config", "entry.usage_reports", "entry.fleet_orders"):
        assert f"gypsumusher_{module}" not in found.split()
    assert "statistics" not in found.split()


def test_names_that_are_imported_late_are_those_of_their_modules():
    """A name whose module is missing from the table would fail at its first use."""
    importlib.import_module("gypsumusher_coordination.merge_patch")
    for name in coordination.__all__:
        assert not isinstance(getattr(coordination, name), type(coordination))
