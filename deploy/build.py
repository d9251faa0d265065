"""Installs the entry host and the libraries that it needs into target/deps.

What is there already is kept only if it was made completely, from the same content, and
for this machine and Python: a stamp beside it, written last, names all of these.
"""

import compileall
import fcntl
import hashlib
import os
import pathlib
import platform
import shutil
import subprocess
import sys
import sysconfig

ROOT = pathlib.Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
DEPS = ROOT / "target" / "deps"
STAMPS = ROOT / "target" / "stamps"
PARTS = ("platform", *(f"libs/{name}" for name in (
    "ports", "http", "process", "coordination", "routing", "entry",
)))  # fmt: skip


def main():
    """Bring target/deps up to date; return the exit status."""
    STAMPS.mkdir(parents=True, exist_ok=True)
    with open(STAMPS / "lock", "w") as lock:
        # Two builds at once would remove each other's files.
        fcntl.flock(lock, fcntl.LOCK_EX)
        machine = describe_machine()
        install_requirements(machine)
        for part in PARTS:
            for package in (ROOT / part).glob("gypsumusher_*/"):
                install_package(package, machine)
        return check_import()


def describe_machine():
    """Return what compiled modules depend on: processor, Python, C library."""
    return " ".join(
        (
            sysconfig.get_platform(),
            platform.machine(),
            sys.implementation.cache_tag,
            sys.version.split()[0],
            *platform.libc_ver(),
        )
    )


def install_requirements(machine):
    """Install the requirements into an empty folder, and put it in place of the old."""
    wanted = f"{machine}\n{REQUIREMENTS.read_text()}"
    if read_stamp("requirements") == wanted and DEPS.is_dir():
        return
    new = empty_folder(DEPS.with_name("deps.new"))
    command = [sys.executable, "-m", "pip", "install", "--quiet", "--target", str(new)]
    if subprocess.run([*command, "--requirement", str(REQUIREMENTS)]).returncode:
        raise SystemExit("build: pip can't install deploy/requirements.txt; see above")
    for stamp in STAMPS.glob("*.stamp"):
        remove_stamp(stamp.stem)
    replace_folder(new, DEPS)
    write_stamp("requirements", wanted)


def install_package(package, machine):
    """Copy and compile one package of this repository if its content is new."""
    installed = DEPS / package.name
    wanted = f"{machine}\n{hash_sources(package)}"
    if read_stamp(package.name) == wanted and installed.is_dir():
        return
    new = empty_folder(DEPS.with_name(f"{package.name}.new"))
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(package, new, ignore=ignored, dirs_exist_ok=True)
    if not compileall.compile_dir(
        new, quiet=1, ddir=f"target/deps/{package.name}", force=True
    ):
        raise SystemExit(f"build: {package.name} can't be compiled")
    remove_stamp(package.name)
    replace_folder(new, installed)
    write_stamp(package.name, wanted)


def hash_sources(package):
    """Return a hash of the names and contents of a package's files."""
    digest = hashlib.sha256()
    for path in sorted(package.rglob("*")):
        if path.is_dir() or "__pycache__" in path.parts:
            continue
        content = path.read_bytes()
        name = path.relative_to(package)
        digest.update(f"{name} {len(content)}\n".encode())
        digest.update(content)
    return digest.hexdigest()


def check_import():
    """Import the program as a host does; return 0, or 1 after an error message."""
    environment = {**os.environ, "PYTHONPATH": str(DEPS)}
    program = "import gypsumusher_entry.cmdline, gypsumusher_entry.stage_orders"
    command = [sys.executable, "-S", "-c", program]
    if subprocess.run(command, env=environment, cwd=ROOT).returncode:
        print("build: the entry host can't be imported", file=sys.stderr)
        return 1
    return 0


def empty_folder(path):
    """Return the path of an empty folder; an earlier build may have left one."""
    shutil.rmtree(path, ignore_errors=True)
    path.mkdir(parents=True)
    return path


def replace_folder(new, path):
    """Put a folder in place of another, which a host may be starting from."""
    old = DEPS.with_name(f"{path.name}.old")
    shutil.rmtree(old, ignore_errors=True)
    if path.exists():
        path.rename(old)
    new.rename(path)
    shutil.rmtree(old, ignore_errors=True)


def read_stamp(name):
    """Return the content of a stamp; None if there is none."""
    try:
        return (STAMPS / f"{name}.stamp").read_text()
    except FileNotFoundError:
        return None


def remove_stamp(name):
    """Remove a stamp before what it stands for is changed."""
    (STAMPS / f"{name}.stamp").unlink(missing_ok=True)


def write_stamp(name, content):
    """Write a stamp whole or not at all."""
    new = STAMPS / f"{name}.new"
    new.write_text(content)
    new.rename(STAMPS / f"{name}.stamp")


if __name__ == "__main__":
    sys.exit(main())
