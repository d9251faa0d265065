"""A running daemon starts no child process and uses no io_uring or shared memory."""

import asyncio
import os
import pathlib
import subprocess
import sys

import pytest
from testkit import Fleet

pytestmark = pytest.mark.processes


def children_of(pid):
    children = []
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        children += (task / "children").read_text().split()
    return children


def descriptors_of(pid):
    targets = []
    for descriptor in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            targets.append(os.readlink(descriptor))
        except FileNotFoundError:
            continue
    return targets


def test_daemon_under_load_has_no_child_process_io_uring_or_shared_memory():
    async def main():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=2, engines=1)
            running = [
                asyncio.ensure_future(hosts[0].complete(f"letter {n}", 20, stream=True))
                for n in range(20)
            ]
            for host in hosts:
                assert children_of(host.pid) == []
                assert not [t for t in descriptors_of(host.pid) if "io_uring" in t]
                maps = pathlib.Path(f"/proc/{host.pid}/maps").read_text()
                assert "/dev/shm" not in maps and "/SYSV" not in maps
            responses = await asyncio.gather(*running)
            assert all(response.status == 200 for response in responses)
            for host in hosts:
                assert await host.terminate_and_wait() == 0

    asyncio.run(main())


def test_invalid_settings_exit_with_a_message_and_code_2(tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text("host: {name: h1, zone: z}\ncallers: {port: -1}\n")
    completed = subprocess.run(
        [sys.executable, "-m", "gypsumusher_daemon", "--settings", str(path)],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 2
    assert "callers.port: -1 is outside" in completed.stderr
    assert "Traceback" not in completed.stderr
