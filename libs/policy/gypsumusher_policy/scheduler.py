"""The decisions of one host for one deployment, from arrival to the last token."""

from collections import OrderedDict

from gypsumusher_policy import admission
from gypsumusher_policy.admission import Capacity, Work
from gypsumusher_policy.arrival_rates import DemandMeter
from gypsumusher_policy.endpoint_state import REFUSED_PAUSE_S, EndpointState
from gypsumusher_policy.in_flight import Flight
from gypsumusher_policy.output_length import OutputEstimate
from gypsumusher_policy.placement import (
    EndpointIndex,
    has_decode_room,
    has_prefill_room,
    score,
)
from gypsumusher_policy.prefix_index import CacheTable
from gypsumusher_policy.queueing import Queued, RequestQueue
from gypsumusher_policy.random_source import make_draw
from gypsumusher_policy.retry_budget import RetryBudget, may_retry
from gypsumusher_policy.retry_reservations import Promises
from gypsumusher_policy.suspect_scheduling import SuspectList, host_turn, own_engine
from gypsumusher_policy.types import (
    Action,
    DeploymentPolicy,
    Endpoint,
    LoadReport,
    Refuse,
    Request,
    Start,
)

# Attempts of one request: an engine that refuses is passed by, but a request that
# three engines failed is likely the cause itself.
MAX_ATTEMPTS = 3
# Requests whose history is kept for `Scheduler.explain`.
MAX_EXPLAINED = 2000
# Characters that one prefix hash covers are about 64 tokens.
PREFIX_TOKENS = 64
# Retry-after of a refusal for which no endpoint is known, in seconds.
NO_ENDPOINT_RETRY_S = 2.0
# A peer that is silent for this long no longer shares the engines; its requests have
# ended or have been given up by then.
PEER_SILENT_S = 10.0


class Scheduler:
    """Admits, queues, places and retries the requests of one deployment.

    It does no input or output and reads no clock: each call returns the actions that
    it caused, and the caller carries them out.

    Parameters
    ----------
    policy : DeploymentPolicy
        Settings in force.
    host : str
        Name of this entry host.
    zone : str
        Its availability zone.
    seed : int
        Seed of its draws.
    quarantine : Quarantine, optional
        Consulted for each request; whoever owns it tells it of starts, ends and
        crashes.
    """

    def __init__(
        self,
        policy: DeploymentPolicy,
        host: str,
        zone: str,
        seed: int,
        quarantine=None,
    ):
        self.policy = policy
        self.host = host
        self.zone = zone
        self.quarantine = quarantine
        self.draw = make_draw(seed)
        self.states = {}
        self.index = EndpointIndex()
        self.queue = RequestQueue()
        self.flights = {}
        self.pending_decode = []
        self.suspects = SuspectList()
        self.peers = {}
        self.cell_hosts = []
        self.cache = CacheTable()
        self.outputs = OutputEstimate()
        self.meter = DemandMeter()
        self.budget = RetryBudget(policy.retry_ratio)
        self.promises = Promises()
        self.prefilled_s = {}
        self.explained = OrderedDict()
        self.rates = (4000.0, 1000.0, 8)
        self.resume_times_s = set()

    def set_policy(self, now_s: float, policy: DeploymentPolicy) -> None:
        """Take new settings; requests already admitted keep their class."""
        self.policy = policy
        self.budget.ratio = policy.retry_ratio

    def set_endpoints(self, now_s: float, endpoints: list[Endpoint]) -> list[Action]:
        """Take the list of endpoints; one that is gone or leaving gets no new work.

        Work that runs on a leaving endpoint goes on there to its end.
        """
        listed = set()
        for endpoint in endpoints:
            listed.add(endpoint.name)
            state = self.states.get(endpoint.name)
            if state is None:
                state = self.states[endpoint.name] = EndpointState(endpoint)
            state.leaving = endpoint.leaving
            state.zone = endpoint.zone
            if state.report_at_s is None:
                state.role = endpoint.role
            self.index.set_member(state, not endpoint.leaving)
        for name in list(self.states):
            if name not in listed:
                self._drop_endpoint(name)
        return self._dispatch(now_s)

    def set_hosts(self, now_s: float, names: list[str]) -> None:
        """Take the names of the other hosts that send work to these engines.

        The news of their loads would come too late for what hangs on who they are.
        """
        self.cell_hosts = names

    def on_report(self, now_s: float, report: LoadReport) -> list[Action]:
        """Take in an engine's load report."""
        state = self.states.get(report.endpoint)
        if state is None or not state.on_report(now_s, report):
            return []
        self.index.update(state)
        self.rates = (
            state.prefill_tokens_per_s,
            state.decode_tokens_per_s,
            state.slots,
        )
        return self._dispatch(now_s)

    def on_peer_load(
        self, now_s: float, peer: str, load: dict[str, tuple[int, int]]
    ) -> list[Action]:
        """Take in what a peer has in flight: requests, and prompt tokens to do."""
        self.peers[peer] = now_s
        self._forget_peers(now_s)
        for name, state in self.states.items():
            known = state.peers.get(peer)
            new = load.get(name)
            if new is not None:
                new = (new[0], new[1])
            if known == new:
                continue
            state.on_peer_load(peer, new)
            self.index.update(state)
        return self._dispatch(now_s)

    def own_load(self) -> dict[str, tuple[int, int]]:
        """Return what this host has in flight, for its peers."""
        load = {}
        for name, state in self.states.items():
            if state.own_running:
                load[name] = (state.own_running, state.own_prompt_tokens)
        return load

    def on_cache_events(
        self, now_s: float, endpoint: str, add: list[int], remove: list[int]
    ) -> None:
        """Take in an engine's cache events."""
        for prefix_hash in remove:
            self.cache.remove(endpoint, prefix_hash)
        for prefix_hash in add:
            self.cache.add(endpoint, prefix_hash)

    def submit(self, now_s: float, request: Request) -> list[Action]:
        """Decide on a new request: start it, refuse it, or let it wait."""
        flight = self._make_flight(request)
        self.budget.on_first_attempt()
        refusal = self._refusal(now_s, flight)
        if refusal is not None:
            return [self._note_refusal(now_s, refusal, request.fingerprint)]
        self.meter.add(now_s, flight.rank, *flight.work)
        self.flights[request.request_id] = flight
        self._note(now_s, request.request_id, "admitted", queued=len(self.queue))
        self._enqueue(now_s, flight)
        return self._dispatch(now_s)

    def on_prefill_done(self, now_s: float, request_id: str) -> list[Action]:
        """Place the second stage of a request whose prompt has been processed."""
        flight = self.flights.get(request_id)
        if flight is None or flight.stage != "prefill":
            return []
        self.suspects.on_survived(request_id)
        holder = flight.state
        holder.health.on_success()
        self._leave(flight)
        # The prompt's cache stays on the prefill engine until it is fetched.
        flight.cache_holder = holder
        known_s = self.prefilled_s.get(flight.rank, 0.0)
        self.prefilled_s[flight.rank] = known_s + flight.work.decode_s
        holder.own_kv_tokens += flight.kv_tokens()
        flight.waits_decode = True
        self.pending_decode.append(flight)
        return self._dispatch(now_s)

    def on_first_token(self, now_s: float, request_id: str) -> None:
        """Note that the first token has come, so that the prompt is done."""
        flight = self.flights.get(request_id)
        if flight is None or flight.state is None:
            return
        flight.first_token_s = now_s
        self.suspects.on_survived(request_id)
        if self.quarantine is not None:
            fingerprint = flight.request.fingerprint
            self.quarantine.on_first_token(fingerprint, flight.state.name)
        self._release_cache(flight)
        flight.state.own_prompt_tokens -= flight.prompt_tokens
        flight.prompt_tokens = 0
        self.index.update(flight.state)

    def on_done(
        self, now_s: float, request_id: str, output_tokens: int
    ) -> list[Action]:
        """Note that the whole answer has come."""
        flight = self.flights.pop(request_id, None)
        if flight is None:
            return []
        self.suspects.on_survived(request_id)
        if flight.state is not None:
            flight.state.health.on_success()
            if flight.first_token_s is not None:
                seconds = now_s - flight.first_token_s
                flight.state.on_pace(seconds, output_tokens)
        self._leave(flight)
        request = flight.request
        self.outputs.on_answer(
            request.class_name, request.max_output_tokens, output_tokens
        )
        self._note(now_s, request_id, "done", output_tokens=output_tokens)
        return self._dispatch(now_s)

    def on_failed(
        self, now_s: float, request_id: str, reason: str, ran: str
    ) -> list[Action]:
        """Note that an attempt failed; retry it or give its final refusal at once.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        request_id : str
            The request.
        reason : {"connect", "refused", "broken", "error", "crossed", "crash"}
            How it failed.
        ran : {"no", "unknown"}
            Whether anything of the attempt may have run.
        """
        flight = self.flights.get(request_id)
        if flight is None:
            return []
        state = flight.state
        peer = state.name if state is not None else ""
        if state is not None:
            flight.tried.add(state.name)
            if reason in ("refused", "connect"):
                state.paused_until_s = now_s + REFUSED_PAUSE_S
                self.resume_times_s.add(state.paused_until_s)
            state.health.on_failure(now_s, reason)
            if state.health.is_open():
                self.resume_times_s.add(state.health.until_s)
            if state.health.failures:
                self.resume_times_s.add(state.health.once_from_s())
        self._leave(flight)
        if ran != "no":
            flight.ran = "unknown"
        self._note(now_s, request_id, "failed", reason=reason, ran=ran, endpoint=peer)
        self.suspects.remove(request_id)
        actions = []
        if self._verdict(flight) == "convicted":
            del self.flights[request_id]
            refusal = Refuse(
                request_id, "crashing_request", flight.ran, None, reason, peer
            )
            actions.append(self._note_refusal(now_s, refusal))
        elif self._retries(now_s, flight, ran, reason):
            flight.attempt += 1
            self._forgive(flight, peer)
            self._enqueue(now_s, flight)
        else:
            del self.flights[request_id]
            refusal = Refuse(
                request_id, "endpoint_failed", flight.ran, None, reason, peer
            )
            actions.append(self._note_refusal(now_s, refusal))
        return actions + self._dispatch(now_s)

    def cancel(self, now_s: float, request_id: str) -> list[Action]:
        """Forget a request whose caller has gone away."""
        flight = self.flights.pop(request_id, None)
        if flight is None:
            return []
        self.queue.remove(request_id)
        self.suspects.remove(request_id)
        if flight.waits_decode:
            self.pending_decode.remove(flight)
        self._leave(flight)
        self._note(now_s, request_id, "cancelled")
        return self._dispatch(now_s)

    def tick(self, now_s: float) -> list[Action]:
        """Refuse what can't be on time any longer, and place what waits."""
        return self._dispatch(now_s)

    def next_wakeup_s(self) -> float | None:
        """Return when `tick` has to be called next, or None."""
        times = [flight.request.deadline_s for flight in self.pending_decode]
        for due_s in (self.queue.next_late_s(), self.suspects.next_s()):
            if due_s is not None:
                times.append(due_s)
        if times or self.queue:
            # Every end of a pause counts, not the last one alone: where reports come
            # late, work would wait past the first endpoint that is back.
            times.extend(self.resume_times_s)
        return min(times, default=None)

    def explain(self, request_id: str) -> list[dict]:
        """Return what was decided on a request, oldest first."""
        return list(self.explained.get(request_id, ()))

    def demand(self) -> dict:
        """Return the arriving and the waiting work, for the steward's planner."""
        classes = []
        for rank, (prefill, decode) in sorted(self.meter.plan_rates.items()):
            queued = self.queue.work_by_rank.get(rank, Work(0.0, 0.0))
            decode_s = queued.decode_s + self.prefilled_s.get(rank, 0.0)
            classes.append([rank, prefill, decode, queued.prefill_s, decode_s])
        rates = self.meter.rates.values()
        return {
            "host": self.host,
            "prefill_rate": sum(item[0] for item in rates),
            "decode_rate": sum(item[1] for item in rates),
            "classes": classes,
        }

    def _make_flight(self, request):
        classes = self.policy.classes
        policy = classes.get(request.class_name) or classes[self.policy.default_class]
        output_tokens, high_tokens = self.outputs.expect_tokens(
            request.class_name, request.max_output_tokens
        )
        prefill_rate, decode_rate, _ = self.rates
        work = Work(request.prompt_tokens / prefill_rate, output_tokens / decode_rate)
        return Flight(request, policy.rank, work, output_tokens, high_tokens)

    def _service_s(self, flight):
        prefill_rate, decode_rate, slots = self.rates
        decode_s = flight.high_output_tokens * slots / decode_rate
        return flight.request.prompt_tokens / prefill_rate + decode_s

    def _wait_s(self, rank):
        """Return the projected wait for a start of this class, in seconds."""
        ahead = self.queue.ahead(rank)
        prefilled_s = 0.0
        for other, decode_s in self.prefilled_s.items():
            if other <= rank:
                prefilled_s += decode_s
        work = Work(ahead.prefill_s, ahead.decode_s + prefilled_s)
        return admission.drain_s(work, self._capacity())

    def _capacity(self):
        """Return this host's share of the engines: its peers drain theirs as well."""
        share = 1.0 / (1 + len(self.peers))
        rows = self.index.by_role
        return Capacity(
            len(rows["prefill"]) * share,
            len(rows["decode"]) * share,
            len(rows["mixed"]) * share,
        )

    def _refusal(self, now_s, flight):
        request = flight.request
        request_id = request.request_id
        if self._verdict(flight) == "convicted":
            return Refuse(request_id, "crashing_request", "no", None, "admit", "")
        if all(state.leaving for state in self.states.values()):
            retry_s = NO_ENDPOINT_RETRY_S
            return Refuse(request_id, "no_endpoint", "no", retry_s, "admit", "")
        if now_s >= request.deadline_s:
            return Refuse(request_id, "deadline_passed", "no", None, "admit", "")
        if self.promises.take(now_s, request.fingerprint):
            flight.promised = True
            return None
        if not self.queue:
            return None
        wait_s = self._wait_s(flight.rank)
        slack_s = request.deadline_s - now_s - self._service_s(flight)
        if wait_s <= slack_s and len(self.queue) < admission.MAX_QUEUED:
            return None
        retry_s = admission.retry_after_s(wait_s, slack_s)
        return Refuse(request_id, "overloaded", "no", retry_s, "admit", "")

    def _verdict(self, flight):
        if self.quarantine is None:
            return "clear"
        return self.quarantine.status_of(flight.request.fingerprint)

    def _suspect_engines(self):
        rows = self.index.by_role
        return max(len(rows["prefill"]), len(rows["mixed"]))

    def _enqueue(self, now_s, flight):
        request = flight.request
        if self._verdict(flight) == "suspect":
            engines = max(1, self._suspect_engines())
            _, wait_s = host_turn(self.host, self._other_hosts(), engines)
            self.suspects.push(flight, now_s + wait_s)
            return
        latest_s = admission.latest_start_s(request.deadline_s, self._service_s(flight))
        weight = self.policy.tenant_weights.get(request.tenant, 1.0)
        # A caller that came back when it was told goes before the newcomers.
        order_s = now_s if flight.promised else request.deadline_s
        item = Queued(request, flight.rank, flight.work, latest_s, order_s)
        self.queue.push(item, max(weight, 1e-3))

    def _forgive(self, flight, last):
        """Let a request go back to endpoints that failed it when no other is left.

        Failure guarded against: in a deployment of two engines both fail a request;
        with nowhere to go it waits at the head of its class until its deadline, and
        everything behind it waits too. Only the last one stays out, if it can.
        """
        usable = {state.name for state in self.states.values() if not state.leaving}
        if usable - flight.tried:
            return
        flight.tried = {last} if len(usable) > 1 else set()

    def _forget_tried(self, flight):
        """Let a request go where it has failed, when it has been everywhere."""
        for row in self.index.by_role.values():
            for _, state in row:
                if state.name not in flight.tried:
                    return
        flight.tried.clear()

    def _retries(self, now_s, flight, ran, reason):
        if flight.attempt >= MAX_ATTEMPTS:
            return False
        if now_s >= flight.request.deadline_s:
            return False
        if not may_retry(ran, flight.request.idempotent):
            return False
        # A crash loses a batch that had been admitted, and suspects run one at a
        # time: their retries can't add up to a storm.
        return ran == "no" or reason == "crash" or self.budget.take()

    def _dispatch(self, now_s):
        """Start whatever has room now, after refusing what has become too late."""
        self.resume_times_s = {at_s for at_s in self.resume_times_s if at_s > now_s}
        self.meter.roll(now_s)
        actions = self._refuse_late(now_s)
        actions += self._run_suspects(now_s)
        for flight in list(self.pending_decode):
            start = self._place(now_s, flight, ("decode", "mixed"), "decode")
            if start is not None:
                self.pending_decode.remove(flight)
                flight.waits_decode = False
                actions.append(start)
        for key in list(self.queue.lanes):
            while True:
                item = self.queue.peek(key)
                if item is None:
                    break
                start = self._place_first(now_s, self.flights[item.request.request_id])
                if start is None:
                    # The lanes after it are tried as well: the room that this one
                    # waits for is refused to them too, by the same limits.
                    break
                self.queue.pop(key)
                actions.append(start)
        return actions

    def _run_suspects(self, now_s):
        """Run suspects one at a time, and let go those that are clear again."""
        actions = []
        for request_id, flight in list(self.suspects.waiting.items()):
            verdict = self._verdict(flight)
            if verdict == "suspect" and now_s < flight.request.deadline_s:
                continue
            self.suspects.remove(request_id)
            if verdict == "clear":
                self._enqueue(now_s, flight)
                continue
            if verdict == "suspect":
                actions.append(self._give_up(now_s, request_id, "quarantine"))
                continue
            del self.flights[request_id]
            refusal = Refuse(
                request_id, "crashing_request", flight.ran, None, "quarantine", ""
            )
            actions.append(self._note_refusal(now_s, refusal))
        flight = self.suspects.first(now_s)
        # While a crash is being judged, one of the suspects is about to be convicted.
        if flight is None or self.quarantine.pending_crashes:
            return actions
        state = self._suspect_endpoint(now_s, flight)
        if state is None:
            return actions
        self.suspects.start(flight.request.request_id)
        stage = "prefill" if state.role == "prefill" else "whole"
        actions.append(self._start(now_s, flight, state, stage))
        return actions

    def _other_hosts(self):
        """Return the hosts that may try suspects too, whether heard of or only known.

        Hosts that had not heard each other's load yet took the same engine, and an
        innocent suspect was lost together with the guilty one.
        """
        return sorted({*self.peers, *self.cell_hosts} - {self.host})

    def _suspect_endpoint(self, now_s, flight):
        names = []
        usable = {}
        for role in ("prefill", "mixed"):
            for _, state in self.index.by_role[role]:
                names.append((role != "prefill", state.name))
                # Its second run must be elsewhere: the engine may be the cause.
                if state.name in flight.tried:
                    continue
                if state.takes_work(now_s, flight.request.idempotent):
                    usable[state.name] = state
        name = own_engine(self.host, self._other_hosts(), sorted(names), usable)
        return usable.get(name)

    def _refuse_late(self, now_s):
        """Give the final refusal to what waits but can't be on time any longer."""
        actions = []
        while True:
            item = self.queue.pop_late(now_s)
            if item is None:
                break
            actions.append(self._give_up(now_s, item.request.request_id, "queue"))
        for flight in list(self.pending_decode):
            if now_s < flight.request.deadline_s:
                continue
            self.pending_decode.remove(flight)
            # The prompt has run, so that "not run" would be false.
            flight.ran = "unknown"
            request_id = flight.request.request_id
            actions.append(self._give_up(now_s, request_id, "decode"))
        return actions

    def _give_up(self, now_s, request_id, step):
        flight = self.flights.pop(request_id)
        wait_s = self._wait_s(flight.rank)
        retry_s = admission.retry_after_s(wait_s, 0.0)
        refusal = Refuse(request_id, "overloaded", flight.ran, retry_s, step, "")
        return self._note_refusal(now_s, refusal, flight.request.fingerprint)

    def _forget_peers(self, now_s):
        for peer, heard_s in list(self.peers.items()):
            if now_s - heard_s < PEER_SILENT_S:
                continue
            del self.peers[peer]
            for state in self.states.values():
                state.on_peer_load(peer, None)
                self.index.update(state)

    def _place_first(self, now_s, flight):
        roles = ["mixed"]
        # A prompt is processed apart only where its answer can be generated after.
        # Work that is mostly prompt needs no room for that yet: its cache waits, and
        # the prefill engines would idle while the decode engines are full.
        if self._decode_room(now_s, flight):
            roles.append("prefill")
        return self._place(now_s, flight, roles, None)

    def _decode_room(self, now_s, flight):
        for role in ("decode", "mixed"):
            for state in self._shortlist(role, now_s, flight):
                if flight.lane.mostly_prompt or has_decode_room(state, flight.lane):
                    return True
        return False

    def _shortlist(self, role, now_s, flight):
        idempotent = flight.request.idempotent
        return self.index.shortlist(role, now_s, idempotent, flight.tried)

    def _room(self, state, flight):
        if not has_prefill_room(state, flight.lane, flight.kv_tokens()):
            return False
        return state.role == "prefill" or has_decode_room(state, flight.lane)

    def _place(self, now_s, flight, roles, stage):
        names, parts = self.cache.longest(flight.request.prefix_hashes)
        roomy = []
        for role in roles:
            for state in self._shortlist(role, now_s, flight):
                # A second stage is sent at once: its cache stands on the prefill
                # engine until it is fetched, and the engine orders what waits.
                if stage is None and not self._room(state, flight):
                    continue
                roomy.append(state)
        best, best_score = None, None
        for state in self._draw_two(roomy, names):
            cached = parts * PREFIX_TOKENS if state.name in names else 0
            value = score(state, self.zone, cached)
            if best is None or value < best_score:
                best, best_score = state, value
        if best is None:
            return None
        if stage is None:
            stage = "prefill" if best.role == "prefill" else "whole"
        return self._start(now_s, flight, best, stage)

    def _draw_two(self, states, cached_names):
        """Return two of the states by draw, and those with the prompt's prefix."""
        if len(states) <= 2:
            return states
        first = self.draw(len(states))
        second = (first + 1 + self.draw(len(states) - 1)) % len(states)
        drawn = [states[first], states[second]]
        for state in states:
            if state.name in cached_names and state not in drawn:
                drawn.append(state)
        return drawn

    def _start(self, now_s, flight, state, stage):
        flight.state = state
        flight.first_token_s = None
        flight.stage = stage
        flight.started_s = now_s
        state.health.on_start()
        state.own_running += 1
        state.own_kv_tokens += flight.kv_tokens()
        if stage != "decode":
            flight.prompt_tokens = flight.request.prompt_tokens
            state.own_prompt_tokens += flight.prompt_tokens
        self.index.update(state)
        request_id = flight.request.request_id
        self._note(now_s, request_id, "start", endpoint=state.name, stage=stage)
        return Start(request_id, state.name, stage, flight.rank, flight.attempt)

    def _release_cache(self, flight):
        if flight.cache_holder is None:
            return
        flight.cache_holder.own_kv_tokens -= flight.kv_tokens()
        flight.cache_holder = None
        left_s = self.prefilled_s[flight.rank] - flight.work.decode_s
        self.prefilled_s[flight.rank] = max(0.0, left_s)

    def _leave(self, flight):
        self._release_cache(flight)
        state = flight.state
        if state is None:
            return
        state.own_running -= 1
        state.own_kv_tokens -= flight.kv_tokens()
        state.own_prompt_tokens -= flight.prompt_tokens
        flight.prompt_tokens = 0
        flight.state = None
        self.index.update(state)

    def _drop_endpoint(self, name):
        state = self.states[name]
        state.leaving = True
        self.index.set_member(state, False)
        # The platform's list lags and may drop an engine for a moment: while work runs
        # there, it is remembered, so that its load is known when it comes back.
        if not state.own_running:
            del self.states[name]

    def _note_refusal(self, now_s, refusal, fingerprint=None):
        if fingerprint is not None and refusal.retry_after_s is not None:
            self.promises.add(fingerprint, now_s + refusal.retry_after_s)
        self._note(
            now_s,
            refusal.request_id,
            "refused",
            code=refusal.code,
            retry_after_s=refusal.retry_after_s,
        )
        return refusal

    def _note(self, now_s, request_id, event, **details):
        events = self.explained.get(request_id)
        if events is None:
            events = self.explained[request_id] = []
            if len(self.explained) > MAX_EXPLAINED:
                self.explained.popitem(last=False)
        events.append({"at_s": now_s, "event": event, **details})
