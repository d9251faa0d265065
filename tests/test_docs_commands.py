"""Command lines of the operators' pages run as written on a running system."""

import asyncio
import os
import pathlib
import re
import subprocess
import sys

import pytest
from testkit import OPERATOR_TOKEN, Fleet, wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
COMMAND_TIMEOUT_S = 60
# Patches run before the commands that show them, and reports before `load-compare`.
PAGE_ORDER = (
    "config-validate",
    "config-patch",
    "config-show",
    "config-history",
    "status",
    "explain",
    "key",
    "trace",
    "losses",
    "retries",
    "notices",
    "load-run",
    "load-compare",
    "drain-endpoint",
    "drain-host",
)


def blocks(page, language):
    return re.findall(rf"```{language}\n(.*?)```", page.read_text(), re.DOTALL)


def command_lines(page):
    lines = []
    for block in blocks(page, "sh"):
        lines.extend(line.strip() for line in block.splitlines() if line.strip())
    return lines


def first_block_with(page, words):
    return next(block for block in blocks(page, "yaml") if words in block)


def write_files(folder):
    """Write the YAML examples of the pages to the files that their commands read."""
    operating = DOCS / "OPERATING.md"
    pages = {
        "document.yaml": (DOCS / "INTERFACES.md", "deployments:"),
        "patch.yaml": (DOCS / "commands" / "config-patch.md", "deployments:"),
        "mix.yaml": (DOCS / "commands" / "load-run.md", "streams:"),
        "settings.yaml": (operating, "platform:"),
    }
    trace = DOCS / "commands" / "trace.md"
    (folder / "host-a.log").write_text(blocks(trace, "text")[0])
    for name, (page, words) in pages.items():
        (folder / name).write_text(first_block_with(page, words))


async def run_line(line, folder, environment):
    """Run a line in a shell and return its output; on failure, report the output."""
    process = await asyncio.create_subprocess_shell(
        line,
        cwd=folder,
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    async with asyncio.timeout(COMMAND_TIMEOUT_S):
        output, _ = await process.communicate()
    assert process.returncode == 0, f"{line}\n{output.decode()}"
    return output.decode()


async def start_system(fleet):
    """Start the processes that the pages use: two hosts, two engines and a service."""
    await fleet.start_platform()
    await fleet.start_engine("engine-1")
    await fleet.start_engine("engine-2")
    await fleet.start_service("counter-1")
    hosts = [await fleet.start_host(name) for name in ("host-a", "host-b")]

    async def all_known():
        for host in hosts:
            status = await host.status()
            if len(status["endpoints"]) < 3 or len(status["hosts"]) < 2:
                return False
        return True

    await wait_until(all_known, "the hosts to see each other and the endpoints")
    return hosts


def make_environment(hosts):
    path = f"{pathlib.Path(sys.executable).parent}:{os.environ['PATH']}"
    operators = ",".join(host.addresses["operators"] for host in hosts)
    callers = ",".join(host.addresses["callers"] for host in hosts)
    return {
        **os.environ,
        "PATH": path,
        "GYPSUMUSHER_OPERATORS": operators,
        "GYPSUMUSHER_TOKEN": OPERATOR_TOKEN,
        "GYPSUMUSHER_CALLERS": callers,
    }


async def run_pages(folder):
    write_files(folder)
    async with Fleet() as fleet:
        hosts = await start_system(fleet)
        environment = make_environment(hosts)
        for line in command_lines(DOCS / "OPERATING.md"):
            # The fleet has already started the daemons, on loopback addresses; drain
            # commands are run from their own pages.
            if line == "gypsumusherd --settings settings.yaml" or "drain" in line:
                continue
            await run_line(line, folder, environment)
        await wait_until(hosts[0].is_ready, "the first configuration")
        await wait_until(hosts[1].is_ready, "the first configuration")
        response = await hosts[0].complete("a letter")
        key = await hosts[0].mint_key()
        placeholders = {
            "REQUEST_ID": response.headers["Gypsumusher-Request-Id"],
            "KEY": key,
        }
        for name in PAGE_ORDER:
            for line in command_lines(DOCS / "commands" / f"{name}.md"):
                words = [placeholders.get(word, word) for word in line.split(" ")]
                await run_line(" ".join(words), folder, environment)


@pytest.mark.processes
def test_each_documented_command_runs_as_written(tmp_path):
    """Guards against pages that are outdated compared with the code.

    Each command line is run unchanged in page order, from the first configuration on,
    with the YAML examples of the pages. A failing line or a refused file is an
    outdated page.
    """
    asyncio.run(run_pages(tmp_path))


def test_every_command_page_is_run():
    pages = {path.stem for path in (DOCS / "commands").glob("*.md")}
    assert pages - {"README"} == set(PAGE_ORDER)
