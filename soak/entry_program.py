"""Runs the entry host's program, cut off from the hosts that a file lists.

The file is named by ``GYPSUMUSHER_SOAK_CUT`` and holds one IP address a line. Messages
to these addresses and from them are dropped, and connections to them are refused, as by
a network that is partitioned. A line ``loss=SHARE`` has that share of all sent messages
dropped. The program itself isn't changed.
"""

import functools
import os
import random
import runpy
import sys
import time

# Imported first, since it disables io_uring before uvloop is imported.
import gypsumusher_process  # noqa: F401  # isort: skip
import uvloop

__all__ = ["CUT_VARIABLE", "LOSS_PREFIX", "START_VARIABLE"]

# Names the file without which the program doesn't begin, so that many hosts can begin
# at the same moment.
START_VARIABLE = "GYPSUMUSHER_SOAK_START"
START_POLL_S = 0.01
CUT_VARIABLE = "GYPSUMUSHER_SOAK_CUT"
LOSS_PREFIX = "loss="


class _CutList:
    """The addresses in a file, read again when the file has changed."""

    def __init__(self, path):
        self._path = path
        self._modified_ns = 0
        self._ips = frozenset()
        self._loss_share = 0.0

    def __contains__(self, ip):
        self._read()
        return ip in self._ips

    def draw_loss(self):
        """Return whether the next message is lost."""
        self._read()
        return random.random() < self._loss_share

    def _read(self):
        try:
            modified_ns = os.stat(self._path).st_mtime_ns
        except FileNotFoundError:
            return
        if modified_ns == self._modified_ns:
            return
        with open(self._path) as file:
            lines = file.read().split()
        self._ips = frozenset(lines)
        self._modified_ns = modified_ns
        for line in lines:
            if line.startswith(LOSS_PREFIX):
                self._loss_share = float(line.removeprefix(LOSS_PREFIX))


class _CutProtocol:
    """Passes on the events of a datagram protocol, except what is cut off."""

    def __init__(self, protocol, cut):
        self._protocol = protocol
        self._cut = cut
        self._transport = None

    def connection_made(self, transport):
        self._transport = transport
        self._protocol.connection_made(self)

    def connection_lost(self, error):
        self._protocol.connection_lost(error)

    def datagram_received(self, data, address):
        if address[0] not in self._cut:
            self._protocol.datagram_received(data, address)

    def error_received(self, error):
        self._protocol.error_received(error)

    # Called by the protocol, as on its transport

    def sendto(self, data, address):
        if address[0] not in self._cut and not self._cut.draw_loss():
            self._transport.sendto(data, address)

    def close(self):
        self._transport.close()


class _CutLoop(uvloop.Loop):
    """An event loop that reaches no address of the cut list."""

    cut = _CutList(os.environ.get(CUT_VARIABLE, ""))

    async def create_datagram_endpoint(self, protocol_factory, **options):
        return await super().create_datagram_endpoint(
            lambda: _CutProtocol(protocol_factory(), self.cut), **options
        )

    async def create_connection(self, protocol_factory, host=None, *args, **options):
        if host in self.cut:
            raise ConnectionRefusedError(f"{host} is cut off")
        return await super().create_connection(protocol_factory, host, *args, **options)


def _wait_for_start():
    """Load the program's modules, then wait until the hosts are to begin."""
    import gypsumusher_entry.host  # noqa: F401

    while not os.path.exists(os.environ[START_VARIABLE]):
        time.sleep(START_POLL_S)


if __name__ == "__main__":
    _wait_for_start()
    uvloop.run = functools.partial(uvloop.run, loop_factory=_CutLoop)
    sys.argv = sys.argv[:1]
    runpy.run_module("gypsumusher_entry", run_name="__main__")
