"""Polls engines for their load reports and cache events."""

import asyncio

import aiohttp

from gypsumusher_policy import LoadReport

__all__ = ["ReportPoller"]

# An engine answers a poll in milliseconds; one that takes a second is stuck. Three
# such polls mark it silent within 5 s at the default interval.
POLL_TIMEOUT_S = 1.0
# How long the engines of a deployment outside this host's cells are polled after a
# request for it. Callers cache an answer of /v1/entry for seconds, so a caller that
# came to this host asks for the right ones well before this.
TEMPORARY_POLLING_S = 60.0


class ReportPoller:
    """Runs one task per engine that reads its load reports and cache events.

    Parameters
    ----------
    sessions : EngineSessions
        HTTP sessions to endpoints.
    endpoints : EndpointTable
        Receives the load reports.
    dispatcher : Dispatcher
        Receives the cache events.
    report_s, cache_events_s : float
        Poll intervals of load reports and of cache events.
    clock : callable
        Boot-time clock.
    """

    def __init__(
        self, sessions, endpoints, dispatcher, report_s, cache_events_s, clock
    ):
        self._sessions = sessions
        self._endpoints = endpoints
        self._dispatcher = dispatcher
        self._report_s = report_s
        self._cache_events_s = cache_events_s
        self._clock = clock
        self._cell_deployments = frozenset()
        self._temporary_since_s = {}
        self._tasks = {}

    @property
    def deployments(self):
        """The deployments whose engines are polled."""
        return self._cell_deployments | set(self._temporary_since_s)

    def set_deployments(self, deployments):
        """Set the deployments whose engines are polled permanently.

        Parameters
        ----------
        deployments : set of str
            The deployments whose cell this host belongs to.
        """
        self._cell_deployments = frozenset(deployments)
        self.update_tasks()

    def poll_temporarily(self, deployment):
        """Poll the engines of a deployment for `TEMPORARY_POLLING_S`.

        Parameters
        ----------
        deployment : str
            A deployment outside this host's cells that a caller requested here.
        """
        self._temporary_since_s[deployment] = self._clock()
        self.update_tasks()

    def update_tasks(self):
        """Start and stop tasks so that each engine to poll has one."""
        now_s = self._clock()
        for deployment, since_s in list(self._temporary_since_s.items()):
            if now_s - since_s > TEMPORARY_POLLING_S:
                del self._temporary_since_s[deployment]
        polled = self.deployments
        wanted = {}
        for entry in self._endpoints.entries.values():
            if entry.kind == "engine" and entry.group in polled:
                wanted[(entry.name, entry.address)] = entry
        for key in list(self._tasks):
            if key not in wanted:
                self._tasks.pop(key).cancel()
        for key, entry in wanted.items():
            if key not in self._tasks:
                self._tasks[key] = asyncio.ensure_future(self._poll_loop(entry))

    async def close(self):
        """Cancel all tasks."""
        tasks = list(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll_loop(self, entry):
        """Read load reports and cache events of one engine, until cancelled."""
        cache_sequence = 0
        polls_per_cache_read = max(1, round(self._cache_events_s / self._report_s))
        polls = 0
        while True:
            if await self._read_report(entry) and polls % polls_per_cache_read == 0:
                cache_sequence = await self._read_cache_events(entry, cache_sequence)
            polls += 1
            await asyncio.sleep(self._report_s)

    async def _get(self, entry, path, **params):
        """Return the JSON answer of an engine, or None on any failure."""
        try:
            async with self._sessions.shared.get(
                f"http://{entry.address}{path}",
                params=params,
                timeout=aiohttp.ClientTimeout(total=POLL_TIMEOUT_S),
            ) as response:
                if response.status != 200:
                    return None
                return await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def _read_report(self, entry):
        """Read one load report; return False when the engine gave none."""
        answer = await self._get(entry, "/load")
        try:
            report, models = read_report(entry.name, answer)
        except (KeyError, TypeError, ValueError):
            self._endpoints.on_poll_failed(entry.name)
            return False
        self._endpoints.on_report(report, models)
        return True

    async def _read_cache_events(self, entry, sequence):
        """Read the cache events after a sequence number; return the newest number."""
        answer = await self._get(entry, "/cache/events", after=str(sequence))
        try:
            add, remove = [], []
            for event in answer["events"]:
                add.extend(event.get("add", ()))
                remove.extend(event.get("remove", ()))
            newest = int(answer["sequence"])
        except (KeyError, TypeError, ValueError):
            return sequence
        if add or remove:
            self._dispatcher.call_scheduler(
                entry.group, "on_cache_events", entry.name, add, remove
            )
        return newest


def read_report(name, answer):
    """Return the load report and the models in an engine's answer.

    Parameters
    ----------
    name : str
        The engine's name in the list.
    answer : dict
        The JSON of ``GET /load``.

    Returns
    -------
    LoadReport, list of (str, str)

    Raises
    ------
    KeyError, TypeError, ValueError
        When the answer isn't a load report.
    """
    models = []
    for model in answer["models"]:
        models.append((str(model["name"]), str(model["version"])))
    report = LoadReport(
        endpoint=name,
        sequence=int(answer["sequence"]),
        age_s=float(answer["age_s"]),
        role=str(answer["role"]),
        draining=bool(answer["draining"]),
        running=int(answer["running"]),
        waiting=int(answer["waiting"]),
        waiting_prompt_tokens=int(answer["waiting_prompt_tokens"]),
        slots=int(answer["slots"]),
        kv_used_tokens=int(answer["kv_used_tokens"]),
        kv_limit_tokens=int(answer["kv_limit_tokens"]),
        prefill_tokens_per_s=float(answer["prefill_tokens_per_s"]),
        decode_tokens_per_s=float(answer["decode_tokens_per_s"]),
    )
    return report, models
