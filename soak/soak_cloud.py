"""Stand-in of the platform's calls for usage reports, which records what it accepts."""

import asyncio
import json

from aiohttp import web
from records import UsageReport

__all__ = ["SoakCloud"]


class SoakCloud:
    """HTTP server for usage reports.

    Parameters
    ----------
    clock : callable
        Returns the seconds since the run began.
    records : Records
        Receives the reports that were accepted.

    Attributes
    ----------
    fault : str
        Empty, ``refuse`` (status 503), ``silent`` (no response) or ``lost`` (the report
        is accepted, and no response comes).
    """

    def __init__(self, clock, records):
        self.fault = ""
        self._clock = clock
        self._records = records
        self._runner = None

    async def start(self):
        """Listen on a free port of 127.0.0.1, and return the address ``IP:PORT``."""
        app = web.Application()
        app.router.add_post("/usage", self._handle)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        return f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def close(self):
        """Stop the server."""
        await self._runner.cleanup()

    async def _handle(self, request):
        content = json.loads(await request.read())
        if self.fault == "refuse":
            return web.Response(status=503)
        if self.fault == "silent":
            await asyncio.Event().wait()
        report = UsageReport(
            self._clock(),
            request.headers["X-Gypsumusher-Duty-Holder"],
            int(request.headers["X-Gypsumusher-Fence-Token"]),
            content["window_id"],
            content["counts"],
        )
        self._records.usage_reports.append(report)
        if self.fault == "lost":
            await asyncio.Event().wait()
        return web.Response()
