"""Hosts that start while callers wait: modules that only duties need come later."""

import importlib
import subprocess
import sys

import gypsumusher_coordination

DEFERRED = {
    "statistics",
    "gypsumusher_coordination.config",
    "gypsumusher_coordination.journal",
    "gypsumusher_entry.fleet_orders",
    "gypsumusher_entry.stage_orders",
    "gypsumusher_entry.usage_reports",
}


def test_start_imports_no_modules_of_duties():
    """Each of them delays the first response after a loss of all hosts."""
    program = "import sys, gypsumusher_entry.host; print(*sys.modules)"
    command = [sys.executable, "-c", program]
    found = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert not DEFERRED & set(found.split())


def test_names_that_are_imported_late_are_those_of_their_modules():
    """A name whose module is missing from the table would fail at its first use."""
    importlib.import_module("gypsumusher_coordination.merge_patch")
    for name in gypsumusher_coordination.__all__:
        assert getattr(gypsumusher_coordination, name).__class__.__name__ != "module"
