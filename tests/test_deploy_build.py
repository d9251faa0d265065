"""The build of the deploy file: what an earlier build left is used only if it fits."""

import os
import pathlib
import shutil
import subprocess
import sys

import httptools
import pytest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGES = pathlib.Path(httptools.__file__).resolve().parent.parent
# Stands for pip: puts the packages of the test's own environment into the target.
PIP = """
import os, pathlib, sys
target = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
with open(os.environ["PIP_RUNS"], "a") as runs:
    runs.write("run\\n")
for path in pathlib.Path(os.environ["PACKAGES"]).iterdir():
    if not path.name.startswith(("gypsumusher", "__")):
        (target / path.name).symlink_to(path)
"""


class Checkout:
    """A copy of what the build reads."""

    def __init__(self, folder):
        self.root = folder / "checkout"
        ignored = shutil.ignore_patterns("tests", "__pycache__", "*.egg-info")
        for name in ("deploy", "platform", "libs"):
            shutil.copytree(ROOT / name, self.root / name, ignore=ignored)
        self.deps = self.root / "target" / "deps"
        self._runs = folder / "runs"
        (folder / "stubs" / "pip").mkdir(parents=True)
        (folder / "stubs" / "pip" / "__main__.py").write_text(PIP)
        (folder / "stubs" / "pip" / "__init__.py").touch()
        self._environment = {
            **os.environ,
            "PYTHONPATH": str(folder / "stubs"),
            "PIP_RUNS": str(self._runs),
            "PACKAGES": str(PACKAGES),
        }

    def build(self, **variables):
        """Run the build as the deploy file says; return its exit status."""
        command = [sys.executable, "deploy/build.py"]
        environment = {**self._environment, **variables}
        return subprocess.run(command, cwd=self.root, env=environment).returncode

    def installs(self):
        return len(self._runs.read_text().splitlines())

    def module(self, name="gypsumusher_entry/errors.py"):
        return self.deps / name


@pytest.fixture
def checkout(tmp_path):
    checkout = Checkout(tmp_path)
    assert checkout.build() == 0
    return checkout


def test_build_without_a_change_replaces_nothing(checkout):
    """Guards against files that vanish while another run's processes start."""
    before = checkout.module().stat()
    assert checkout.build() == 0
    assert checkout.module().stat().st_ino == before.st_ino
    assert checkout.installs() == 1


def test_dependencies_of_another_machine_are_installed_again(checkout):
    """Guards against compiled modules of another processor or Python."""
    stamp = checkout.root / "target" / "stamps" / "requirements.stamp"
    stamp.write_text("linux-other cpython-310\n" + stamp.read_text().split("\n", 1)[1])
    shutil.rmtree(checkout.deps / "msgpack", ignore_errors=True)
    (checkout.deps / "msgpack").unlink(missing_ok=True)
    assert checkout.build() == 0
    assert checkout.installs() == 2
    assert (checkout.deps / "msgpack").exists()


def test_dependencies_of_the_former_build_script_are_installed_again(checkout):
    """Guards against a folder without a stamp that says what it was made for."""
    shutil.rmtree(checkout.root / "target" / "stamps")
    (checkout.deps / ".installed").touch()
    assert checkout.build() == 0
    assert checkout.installs() == 2


def test_package_that_a_broken_off_build_removed_is_copied_again(checkout):
    """Guards against a program without a package, in each start on each host."""
    shutil.rmtree(checkout.deps / "gypsumusher_routing")
    assert checkout.build() == 0
    assert checkout.module("gypsumusher_routing/__init__.py").exists()


def test_change_with_an_old_date_is_built(checkout):
    """Guards against a program of another commit: dates don't show the content."""
    source = checkout.root / "libs" / "entry" / "gypsumusher_entry" / "errors.py"
    source.write_text(source.read_text() + "\n# Changed.\n")
    os.utime(source, (0, 0))
    removed = source.with_name("unused_module.py")
    assert checkout.build() == 0
    assert checkout.module().read_text().endswith("# Changed.\n")
    removed.write_text("")
    assert checkout.build() == 0
    removed.unlink()
    assert checkout.build() == 0
    assert not checkout.module("gypsumusher_entry/unused_module.py").exists()


def test_failed_installation_leaves_what_was_there(checkout):
    """Guards against a running system that loses its packages to a build that fails."""
    requirements = checkout.root / "deploy" / "requirements.txt"
    requirements.write_text(requirements.read_text() + "# Changed.\n")
    assert checkout.build(PACKAGES="/no/such/folder") == 1
    assert checkout.module().exists()
    assert checkout.build() == 0


def test_program_that_cannot_be_imported_fails_the_build(checkout):
    """Guards against a build that succeeds for a program that can't start."""
    source = checkout.root / "libs" / "entry" / "gypsumusher_entry" / "errors.py"
    source.write_text("import no_such_module\n")
    assert checkout.build() != 0
