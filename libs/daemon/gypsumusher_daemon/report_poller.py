"""Polls the engines of this host's deployments for load reports and cache events."""

import asyncio

import aiohttp

from gypsumusher_policy import LoadReport

__all__ = ["ReportPoller"]

# An engine answers in milliseconds; one that takes a second is stuck, and three such
# polls make it silent within 5 s at the default interval.
POLL_TIMEOUT_S = 1.0
# Callers keep an answer of /v1/entry for seconds; one that came to the wrong host
# asks again well before this.
VISIT_S = 60.0


class ReportPoller:
    """One task an engine that reads its load and its cache events.

    Parameters
    ----------
    sessions : EngineSessions
        HTTP to endpoints.
    endpoints : EndpointTable
        Gets the reports.
    dispatcher : Dispatcher
        Gets the cache events.
    report_s, cache_events_s : float
        Intervals.
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
        self._own = frozenset()
        self._visited_s = {}
        self._tasks = {}

    @property
    def deployments(self):
        """The deployments whose engines are followed."""
        return self._own | set(self._visited_s)

    def set_deployments(self, deployments):
        """Follow the engines of these deployments, for as long as they are named.

        Parameters
        ----------
        deployments : set of str
            Those whose cell this host is in.
        """
        self._own = frozenset(deployments)
        self.follow_list()

    def visit(self, deployment):
        """Follow the engines of one more deployment for a while.

        Parameters
        ----------
        deployment : str
            One whose caller came here all the same.
        """
        self._visited_s[deployment] = self._clock()
        self.follow_list()

    def follow_list(self):
        """Start and stop tasks so that each engine to follow has one."""
        now_s = self._clock()
        for deployment, visited_s in list(self._visited_s.items()):
            if now_s - visited_s > VISIT_S:
                del self._visited_s[deployment]
        followed = self.deployments
        wanted = {}
        for entry in self._endpoints.entries.values():
            if entry.kind == "engine" and entry.group in followed:
                wanted[(entry.name, entry.address)] = entry
        for key in list(self._tasks):
            if key not in wanted:
                self._tasks.pop(key).cancel()
        for key, entry in wanted.items():
            if key not in self._tasks:
                self._tasks[key] = asyncio.ensure_future(self._poll(entry))

    async def close(self):
        """Stop all tasks."""
        tasks = list(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll(self, entry):
        """Read reports and cache events of one engine for ever."""
        cache_sequence = 0
        rounds_a_cache_read = max(1, round(self._cache_events_s / self._report_s))
        rounds = 0
        while True:
            if await self._read_report(entry) and rounds % rounds_a_cache_read == 0:
                cache_sequence = await self._read_cache_events(entry, cache_sequence)
            rounds += 1
            await asyncio.sleep(self._report_s)

    async def _get(self, entry, path, **params):
        """Return the JSON of a small answer, or None."""
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
        """Read one load report; True when there was one."""
        answer = await self._get(entry, "/load")
        try:
            report, models = read_report(entry.name, answer)
        except (KeyError, TypeError, ValueError):
            self._endpoints.on_silence(entry.name)
            return False
        self._endpoints.on_report(report, models)
        return True

    async def _read_cache_events(self, entry, sequence):
        """Read cache events after a sequence number; return the new number."""
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
            self._dispatcher.apply(
                entry.group, "on_cache_events", entry.name, add, remove
            )
        return newest


def read_report(name, answer):
    """Return the load report and the models of an engine's answer.

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
