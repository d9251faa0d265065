"""Simulates entry hosts in virtual time, each with its own, outdated state."""

from typing import NamedTuple

from engine_model import Job

from gypsumusher_policy import Endpoint, Refuse

# One-way network delay between a host and an engine of the same zone.
IN_ZONE_DELAY_S = 0.0005
# Time to transfer the KV cache of a prompt to the decode engine.
KV_TRANSFER_S = 0.02


class Outcome(NamedTuple):
    """How one request ended for its caller."""

    request_id: str
    code: str
    at_s: float
    first_token_s: float | None
    retry_after_s: float | None


class Host:
    """One entry host, which executes its scheduler's actions on the engines."""

    def __init__(self, clock, name, zone, scheduler, fleet, zone_delay_s, on_outcome):
        self.clock = clock
        self.name = name
        self.zone = zone
        self.scheduler = scheduler
        self.fleet = fleet
        self.zone_delay_s = zone_delay_s
        self.on_outcome = on_outcome
        self.on_engine_crash = None
        self.arrivals = {}
        self.first_token_s = {}
        self.prefill_caches = {}
        self.wakeup_s = None
        self.known_endpoints = {}
        self.leaving = set()

    def submit(self, arrival, request) -> None:
        """Pass a caller's request to the scheduler."""
        self.arrivals[request.request_id] = (arrival, request)
        self.execute(self.scheduler.submit(self.clock.now_s, request))

    def set_leaving(self, names) -> None:
        """Receive the names of the engines that are about to change."""
        self.leaving = set(names)
        self.refresh()

    def set_endpoint_list(self, endpoints) -> None:
        """Receive the list of engines with their zones and roles."""
        self.known_endpoints = endpoints
        self.refresh()

    def refresh(self) -> None:
        """Pass the endpoints that this host knows to the scheduler."""
        endpoints = []
        for name, (zone, role) in sorted(self.known_endpoints.items()):
            endpoints.append(Endpoint(name, zone, role, name in self.leaving))
        self.execute(self.scheduler.set_endpoints(self.clock.now_s, endpoints))

    def tick(self) -> None:
        """Execute the scheduler's due actions."""
        self.execute(self.scheduler.tick(self.clock.now_s))

    def execute(self, actions) -> None:
        """Execute actions, then schedule the next wake-up of the scheduler."""
        for action in actions or ():
            if isinstance(action, Refuse):
                self._finish(action.request_id, action.code, action.retry_after_s)
                continue
            self._send(action)
        due_s = self.scheduler.next_wakeup_s()
        if due_s is None or (self.wakeup_s is not None and self.wakeup_s <= due_s):
            return
        self.wakeup_s = due_s
        self.clock.at(due_s, self._on_wakeup)

    def _on_wakeup(self):
        if self.wakeup_s is not None and self.clock.now_s >= self.wakeup_s:
            self.wakeup_s = None
        self.tick()

    def _delay_s(self, engine):
        return IN_ZONE_DELAY_S + (
            0.0 if engine.zone == self.zone else self.zone_delay_s
        )

    def _send(self, start):
        """Send an attempt to an engine, after the network delay."""
        engine = self.fleet[start.endpoint]
        arrival, request = self.arrivals[start.request_id]
        delay_s = self._delay_s(engine)

        def notify(event, ran):
            self.clock.after(delay_s, lambda: self._on_engine_event(start, event, ran))

        output_tokens = arrival.output_tokens
        if start.stage == "prefill":
            # KV cache for the output is needed on the decode engine only.
            output_tokens = 0
        job = Job(request, start.stage, start.priority, output_tokens, notify)
        if start.stage == "decode":
            delay_s += KV_TRANSFER_S
            job.on_fetched = lambda: self._release(start.request_id)
        quarantine = self.scheduler.quarantine
        if quarantine is not None:
            now_s = self.clock.now_s
            quarantine.on_start(now_s, request.fingerprint, start.endpoint)
        self.clock.after(delay_s, lambda: engine.submit(job))

    def _release(self, request_id):
        """Free the KV cache that a prefill engine keeps for a request, if any."""
        holder, tokens = self.prefill_caches.pop(request_id, (None, 0))
        if holder is not None:
            holder.release(tokens)

    def _on_engine_event(self, start, event, ran):
        """Pass an event of an attempt to the scheduler."""
        now_s, request_id = self.clock.now_s, start.request_id
        if event == "prefill_done":
            holder = self.fleet[start.endpoint]
            tokens = self.arrivals[request_id][1].prompt_tokens
            self.prefill_caches[request_id] = (holder, tokens)
        elif event != "first_token":
            self._release(request_id)
        if event == "first_token":
            self.first_token_s.setdefault(request_id, now_s)
            self.scheduler.on_first_token(now_s, request_id)
            return
        self._update_quarantine(start, event)
        if event == "prefill_done":
            self.execute(self.scheduler.on_prefill_done(now_s, request_id))
            return
        if event == "done":
            arrival = self.arrivals[request_id][0]
            actions = self.scheduler.on_done(now_s, request_id, arrival.output_tokens)
            self._finish(request_id, "done", None)
            self.execute(actions)
            return
        self.execute(self.scheduler.on_failed(now_s, request_id, event, ran))

    def _update_quarantine(self, start, event):
        """Report the end of an attempt, or a crash, to the quarantine."""
        quarantine = self.scheduler.quarantine
        if quarantine is None:
            return
        now_s = self.clock.now_s
        if event == "crash":
            ran = list(quarantine.running.get(start.endpoint, ()))
            quarantine.on_crash(now_s, start.endpoint)
            if ran:
                self.on_engine_crash(self, {name: [start.endpoint] for name in ran})
            return
        fingerprint = self.arrivals[start.request_id][1].fingerprint
        quarantine.on_end(now_s, fingerprint, start.endpoint, event == "done")

    def _finish(self, request_id, code, retry_after_s):
        """Report the outcome of a request to its caller."""
        first_s = self.first_token_s.pop(request_id, None)
        outcome = Outcome(request_id, code, self.clock.now_s, first_s, retry_after_s)
        self._release(request_id)
        arrival, request = self.arrivals.pop(request_id)
        self.on_outcome(self, arrival, request, outcome)
