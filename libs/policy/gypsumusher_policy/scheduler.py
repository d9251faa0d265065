"""Scheduler of one host for one deployment, from arrival to the last token."""

from collections import OrderedDict

from gypsumusher_policy import admission
from gypsumusher_policy.admission import Capacity, Work
from gypsumusher_policy.arrival_rates import DemandMeter
from gypsumusher_policy.endpoint_state import REFUSAL_PAUSE_S, EndpointState
from gypsumusher_policy.in_flight import InFlightRequest
from gypsumusher_policy.output_length import OutputLengthEstimator
from gypsumusher_policy.placement import (
    EndpointIndex,
    has_decode_capacity,
    has_prefill_capacity,
    placement_cost_s,
)
from gypsumusher_policy.prefix_index import PrefixIndex
from gypsumusher_policy.queueing import QueuedRequest, RequestQueue
from gypsumusher_policy.random_source import make_draw
from gypsumusher_policy.retry_budget import RetryBudget, may_retry
from gypsumusher_policy.retry_reservations import RetryReservations
from gypsumusher_policy.suspect_scheduling import (
    SuspectQueue,
    choose_suspect_engine,
    host_turn,
)
from gypsumusher_policy.types import (
    Action,
    DeploymentPolicy,
    Endpoint,
    LoadReport,
    Refuse,
    Request,
    Start,
)

# Attempts of one request, the first included. Engines that refuse or fail a request
# are passed over, but a request that failed on three engines is likely the cause.
MAX_ATTEMPTS = 3
# Requests whose decisions are kept for `Scheduler.explain`.
MAX_HISTORIES = 2000
# Prompt tokens covered by one prefix hash, approximately: the hashes cover blocks of
# characters.
TOKENS_PER_PREFIX_BLOCK = 64
# Retry-after of a refusal when there is no endpoint to estimate a wait from, in
# seconds.
NO_ENDPOINT_RETRY_AFTER_S = 2.0
# Time without a load update after which a peer no longer counts as sharing the
# engines, in seconds: its requests have ended or have been abandoned by then.
PEER_TIMEOUT_S = 10.0


class Scheduler:
    """Admits, queues, places and retries the requests of one deployment.

    It does no input or output and reads no clock: each call returns the actions to
    carry out. Requests start at once if an endpoint has capacity and wait in a queue
    otherwise.

    Parameters
    ----------
    policy : DeploymentPolicy
        Settings of the deployment.
    host : str
        Name of this entry host.
    zone : str
        Availability zone of this host.
    seed : int
        Seed of the random placement.
    quarantine : Quarantine, optional
        Gives the crash status of each request. Its owner reports starts, ends and
        crashes to it; the scheduler reports first tokens.

    Attributes
    ----------
    pending_decode : list of InFlightRequest
        Requests that have passed prefill and wait for a decode endpoint.
    peer_updated_s : dict of str to float
        Time of the last load update from each peer, in seconds.
    cell_host_names : list of str
        Hosts that send work to these engines.
    awaiting_decode_s : dict of int to float
        Expected decode work, in engine seconds, of requests whose KV cache is still
        on a prefill endpoint, by rank.
    histories : dict of str to list of dict
        Decisions on each recent request.
    engine_rates : (float, float, int)
        Prefill and decode rates, in tokens per second, and batch slots of the engine
        that reported last; before the first report, the defaults of `EndpointState`.
    pause_ends_s : set of float
        Times at which an endpoint's pause ends, in seconds.
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
        self.endpoint_states = {}
        self.endpoint_index = EndpointIndex()
        self.queue = RequestQueue()
        self.in_flight_by_id = {}
        self.pending_decode = []
        self.suspect_queue = SuspectQueue()
        self.peer_updated_s = {}
        self.cell_host_names = []
        self.prefix_index = PrefixIndex()
        self.output_lengths = OutputLengthEstimator()
        self.demand_meter = DemandMeter()
        self.retry_budget = RetryBudget(policy.retry_ratio)
        self.retry_reservations = RetryReservations()
        self.awaiting_decode_s = {}
        self.histories = OrderedDict()
        self.engine_rates = (4000.0, 1000.0, 8)
        self.pause_ends_s = set()

    def set_policy(self, now_s: float, policy: DeploymentPolicy) -> None:
        """Apply new settings; admitted requests keep the rank of their class."""
        self.policy = policy
        self.retry_budget.ratio = policy.retry_ratio

    def set_endpoints(self, now_s: float, endpoints: list[Endpoint]) -> list[Action]:
        """Replace the list of endpoints; removed or leaving ones get no new work.

        Requests that run on such an endpoint continue there to their end.
        """
        listed = set()
        for endpoint in endpoints:
            listed.add(endpoint.name)
            state = self.endpoint_states.get(endpoint.name)
            if state is None:
                state = self.endpoint_states[endpoint.name] = EndpointState(endpoint)
            state.leaving = endpoint.leaving
            state.zone = endpoint.zone
            if state.reported_s is None:
                state.role = endpoint.role
            self.endpoint_index.set_indexed(state, not endpoint.leaving)
        for name in list(self.endpoint_states):
            if name not in listed:
                self._remove_endpoint(name)
        return self._dispatch(now_s)

    def set_hosts(self, now_s: float, names: list[str]) -> None:
        """Replace the names of the hosts that send work to these engines.

        Suspect requests are shared out by these names. Load updates also name the
        hosts, but arrive too late for that.
        """
        self.cell_host_names = names

    def on_report(self, now_s: float, report: LoadReport) -> list[Action]:
        """Apply a load report of an engine."""
        state = self.endpoint_states.get(report.endpoint)
        if state is None or not state.on_report(now_s, report):
            return []
        self.endpoint_index.update(state)
        self.engine_rates = (
            state.prefill_tokens_per_s,
            state.decode_tokens_per_s,
            state.slots,
        )
        return self._dispatch(now_s)

    def on_peer_load(
        self, now_s: float, peer: str, load: dict[str, tuple[int, int]]
    ) -> list[Action]:
        """Apply a load update from a peer.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        peer : str
            Name of the peer.
        load : dict of str to (int, int)
            Requests that the peer has in flight on each endpoint, and their prompt
            tokens before prefill.
        """
        self.peer_updated_s[peer] = now_s
        self._remove_silent_peers(now_s)
        for name, state in self.endpoint_states.items():
            old = state.load_by_peer.get(peer)
            new = load.get(name)
            if new is not None:
                new = (new[0], new[1])
            if old == new:
                continue
            state.on_peer_load(peer, new)
            self.endpoint_index.update(state)
        return self._dispatch(now_s)

    def own_load(self) -> dict[str, tuple[int, int]]:
        """Return this host's load by endpoint, in the form of `on_peer_load`."""
        load = {}
        for name, state in self.endpoint_states.items():
            if state.own_running:
                load[name] = (state.own_running, state.own_prompt_tokens)
        return load

    def on_cache_events(
        self, now_s: float, endpoint: str, add: list[int], remove: list[int]
    ) -> None:
        """Apply cache events of an engine: hashes of added and removed prefixes."""
        for prefix_hash in remove:
            self.prefix_index.remove(endpoint, prefix_hash)
        for prefix_hash in add:
            self.prefix_index.add(endpoint, prefix_hash)

    def submit(self, now_s: float, request: Request) -> list[Action]:
        """Start, queue or refuse a new request."""
        in_flight = self._create_in_flight(request)
        self.retry_budget.on_first_attempt()
        refusal = self._check_admission(now_s, in_flight)
        if refusal is not None:
            return [self._record_refusal(now_s, refusal, request.fingerprint)]
        self.demand_meter.add(now_s, in_flight.rank, *in_flight.work)
        self.in_flight_by_id[request.request_id] = in_flight
        self._record(now_s, request.request_id, "admitted", queued=len(self.queue))
        self._enqueue(now_s, in_flight)
        return self._dispatch(now_s)

    def on_prefill_done(self, now_s: float, request_id: str) -> list[Action]:
        """Queue a request for decode after the end of its prefill stage."""
        in_flight = self.in_flight_by_id.get(request_id)
        if in_flight is None or in_flight.stage != "prefill":
            return []
        self.suspect_queue.end_trial(request_id)
        holder = in_flight.endpoint_state
        holder.health.on_success()
        self._detach(in_flight)
        # The KV cache stays on the prefill endpoint until the decode endpoint has
        # fetched it.
        in_flight.kv_holder = holder
        queued_s = self.awaiting_decode_s.get(in_flight.rank, 0.0)
        self.awaiting_decode_s[in_flight.rank] = queued_s + in_flight.work.decode_s
        holder.own_kv_tokens += in_flight.kv_tokens()
        in_flight.awaiting_decode = True
        self.pending_decode.append(in_flight)
        return self._dispatch(now_s)

    def on_first_token(self, now_s: float, request_id: str) -> None:
        """Record the first token of a request, which shows that its prefill is done."""
        in_flight = self.in_flight_by_id.get(request_id)
        if in_flight is None or in_flight.endpoint_state is None:
            return
        in_flight.first_token_s = now_s
        self.suspect_queue.end_trial(request_id)
        if self.quarantine is not None:
            fingerprint = in_flight.request.fingerprint
            self.quarantine.on_first_token(fingerprint, in_flight.endpoint_state.name)
        self._release_cache(in_flight)
        in_flight.endpoint_state.own_prompt_tokens -= in_flight.pending_prompt_tokens
        in_flight.pending_prompt_tokens = 0
        self.endpoint_index.update(in_flight.endpoint_state)

    def on_done(
        self, now_s: float, request_id: str, output_tokens: int
    ) -> list[Action]:
        """Record that the answer of a request is complete."""
        in_flight = self.in_flight_by_id.pop(request_id, None)
        if in_flight is None:
            return []
        self.suspect_queue.end_trial(request_id)
        if in_flight.endpoint_state is not None:
            in_flight.endpoint_state.health.on_success()
            if in_flight.first_token_s is not None:
                decode_s = now_s - in_flight.first_token_s
                in_flight.endpoint_state.update_speed(decode_s, output_tokens)
        self._detach(in_flight)
        request = in_flight.request
        self.output_lengths.add_answer(
            request.class_name, request.max_output_tokens, output_tokens
        )
        self._record(now_s, request_id, "done", output_tokens=output_tokens)
        return self._dispatch(now_s)

    def on_failed(
        self, now_s: float, request_id: str, reason: str, ran: str
    ) -> list[Action]:
        """Retry a request after a failed attempt, or refuse it at once.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        request_id : str
            Id of the request.
        reason : {"connect", "refused", "broken", "error", "crossed", "crash"}
            How the attempt failed.
        ran : {"no", "unknown"}
            Whether any part of the attempt may have run.
        """
        in_flight = self.in_flight_by_id.get(request_id)
        if in_flight is None:
            return []
        state = in_flight.endpoint_state
        peer = state.name if state is not None else ""
        if state is not None:
            in_flight.failed_endpoints.add(state.name)
            if reason in ("refused", "connect"):
                state.paused_until_s = now_s + REFUSAL_PAUSE_S
                self.pause_ends_s.add(state.paused_until_s)
            state.health.on_failure(now_s, reason)
            if state.health.is_open():
                self.pause_ends_s.add(state.health.open_until_s)
            if state.health.consecutive_failures:
                self.pause_ends_s.add(state.health.non_idempotent_from_s())
        self._detach(in_flight)
        if ran != "no":
            in_flight.ran = "unknown"
        self._record(now_s, request_id, "failed", reason=reason, ran=ran, endpoint=peer)
        self.suspect_queue.remove(request_id)
        actions = []
        if self._status_of(in_flight) == "convicted":
            del self.in_flight_by_id[request_id]
            refusal = Refuse(
                request_id, "crashing_request", in_flight.ran, None, reason, peer
            )
            actions.append(self._record_refusal(now_s, refusal))
        elif self._should_retry(now_s, in_flight, ran, reason):
            in_flight.attempt += 1
            self._allow_failed_endpoints(in_flight, peer)
            self._enqueue(now_s, in_flight)
        else:
            del self.in_flight_by_id[request_id]
            refusal = Refuse(
                request_id, "endpoint_failed", in_flight.ran, None, reason, peer
            )
            actions.append(self._record_refusal(now_s, refusal))
        return actions + self._dispatch(now_s)

    def cancel(self, now_s: float, request_id: str) -> list[Action]:
        """Remove a request whose caller has disconnected."""
        in_flight = self.in_flight_by_id.pop(request_id, None)
        if in_flight is None:
            return []
        self.queue.remove(request_id)
        self.suspect_queue.remove(request_id)
        if in_flight.awaiting_decode:
            self.pending_decode.remove(in_flight)
        self._detach(in_flight)
        self._record(now_s, request_id, "cancelled")
        return self._dispatch(now_s)

    def tick(self, now_s: float) -> list[Action]:
        """Refuse requests that have expired, and start those that have capacity."""
        return self._dispatch(now_s)

    def next_wakeup_s(self) -> float | None:
        """Return when `tick` has to be called next, in seconds, or None."""
        times = [in_flight.request.deadline_s for in_flight in self.pending_decode]
        for due_s in (self.queue.next_expiry_s(), self.suspect_queue.next_event_s()):
            if due_s is not None:
                times.append(due_s)
        if times or self.queue:
            # The end of every pause counts, not only of the last one: without a load
            # report in between, requests would wait although the endpoint whose pause
            # ended first could take them.
            times.extend(self.pause_ends_s)
        return min(times, default=None)

    def explain(self, request_id: str) -> list[dict]:
        """Return the decisions on a request, oldest first."""
        return list(self.histories.get(request_id, ()))

    def demand(self) -> dict:
        """Return the arriving and queued work, for the steward's planners.

        Returns
        -------
        dict
            ``host``, the total ``prefill_rate`` and ``decode_rate`` in engine seconds
            per second, and ``classes`` with a row for each rank: rank, prefill rate,
            decode rate, and queued prefill and decode work in engine seconds.
        """
        classes = []
        for rank, (prefill, decode) in sorted(self.demand_meter.planning_rates.items()):
            queued = self.queue.work_by_rank.get(rank, Work(0.0, 0.0))
            decode_s = queued.decode_s + self.awaiting_decode_s.get(rank, 0.0)
            classes.append([rank, prefill, decode, queued.prefill_s, decode_s])
        rates = self.demand_meter.fast_rates.values()
        return {
            "host": self.host,
            "prefill_rate": sum(item[0] for item in rates),
            "decode_rate": sum(item[1] for item in rates),
            "classes": classes,
        }

    def _create_in_flight(self, request):
        """Return the state of a new request, with its expected work."""
        classes = self.policy.classes
        policy = classes.get(request.class_name) or classes[self.policy.default_class]
        output_tokens, high_tokens = self.output_lengths.estimate_tokens(
            request.class_name, request.max_output_tokens
        )
        prefill_rate, decode_rate, _ = self.engine_rates
        work = Work(request.prompt_tokens / prefill_rate, output_tokens / decode_rate)
        return InFlightRequest(request, policy.rank, work, output_tokens, high_tokens)

    def _service_s(self, in_flight):
        """Return a high estimate of the time from start to last token, in seconds."""
        prefill_rate, decode_rate, slots = self.engine_rates
        decode_s = in_flight.high_output_tokens * slots / decode_rate
        return in_flight.request.prompt_tokens / prefill_rate + decode_s

    def _wait_s(self, rank):
        """Return the projected queueing time of a request of a rank, in seconds."""
        ahead = self.queue.work_ahead(rank)
        awaiting_decode_s = 0.0
        for other, decode_s in self.awaiting_decode_s.items():
            if other <= rank:
                awaiting_decode_s += decode_s
        work = Work(ahead.prefill_s, ahead.decode_s + awaiting_decode_s)
        return admission.drain_time_s(work, self._capacity())

    def _capacity(self):
        """Return this host's share of the engines, which its peers use as well."""
        share = 1.0 / (1 + len(self.peer_updated_s))
        endpoints = self.endpoint_index.by_role
        return Capacity(
            len(endpoints["prefill"]) * share,
            len(endpoints["decode"]) * share,
            len(endpoints["mixed"]) * share,
        )

    def _check_admission(self, now_s, in_flight):
        """Return the refusal of a new request, or None to admit it."""
        request = in_flight.request
        request_id = request.request_id
        if self._status_of(in_flight) == "convicted":
            return Refuse(request_id, "crashing_request", "no", None, "admit", "")
        if all(state.leaving for state in self.endpoint_states.values()):
            retry_s = NO_ENDPOINT_RETRY_AFTER_S
            return Refuse(request_id, "no_endpoint", "no", retry_s, "admit", "")
        if now_s >= request.deadline_s:
            return Refuse(request_id, "deadline_passed", "no", None, "admit", "")
        if self.retry_reservations.redeem(now_s, request.fingerprint):
            in_flight.has_reservation = True
            return None
        if not self.queue:
            return None
        wait_s = self._wait_s(in_flight.rank)
        slack_s = request.deadline_s - now_s - self._service_s(in_flight)
        if wait_s <= slack_s and len(self.queue) < admission.MAX_QUEUED_REQUESTS:
            return None
        retry_s = admission.retry_after_s(wait_s, slack_s)
        return Refuse(request_id, "overloaded", "no", retry_s, "admit", "")

    def _status_of(self, in_flight):
        """Return the crash status of a request, see `Quarantine.status_of`."""
        if self.quarantine is None:
            return "clear"
        return self.quarantine.status_of(in_flight.request.fingerprint)

    def _count_suspect_engines(self):
        """Return the number of prefill or of mixed engines, whichever is larger."""
        endpoints = self.endpoint_index.by_role
        return max(len(endpoints["prefill"]), len(endpoints["mixed"]))

    def _enqueue(self, now_s, in_flight):
        """Add an admitted request to the queue, or to the suspects if it is one."""
        request = in_flight.request
        if self._status_of(in_flight) == "suspect":
            engines = max(1, self._count_suspect_engines())
            _, wait_s = host_turn(self.host, self._other_hosts(), engines)
            self.suspect_queue.push(in_flight, now_s + wait_s)
            return
        latest_s = admission.latest_start_s(
            request.deadline_s, self._service_s(in_flight)
        )
        weight = self.policy.tenant_weights.get(request.tenant, 1.0)
        # A caller that retried at the given time goes before new requests.
        sort_s = now_s if in_flight.has_reservation else request.deadline_s
        item = QueuedRequest(request, in_flight.rank, in_flight.work, latest_s, sort_s)
        self.queue.push(item, max(weight, 1e-3))

    def _allow_failed_endpoints(self, in_flight, last):
        """Allow endpoints that failed a request again, if there is no other.

        If both engines of a small deployment failed a request, it would otherwise
        wait at the head of its class until its deadline, and so would all requests
        behind it. Only the endpoint that failed it last stays excluded, unless it is
        the only one.
        """
        usable = {
            state.name for state in self.endpoint_states.values() if not state.leaving
        }
        if usable - in_flight.failed_endpoints:
            return
        in_flight.failed_endpoints = {last} if len(usable) > 1 else set()

    def _allow_all_if_all_failed(self, in_flight):
        """Allow all endpoints again for a request that failed on each of them."""
        for entries in self.endpoint_index.by_role.values():
            for _, state in entries:
                if state.name not in in_flight.failed_endpoints:
                    return
        in_flight.failed_endpoints.clear()

    def _should_retry(self, now_s, in_flight, ran, reason):
        """Return whether to retry after a failed attempt; may use the retry budget."""
        if in_flight.attempt >= MAX_ATTEMPTS:
            return False
        if now_s >= in_flight.request.deadline_s:
            return False
        if not may_retry(ran, in_flight.request.idempotent):
            return False
        # Retries after a crash need no budget: the crash affects only an admitted
        # batch, whose requests are suspects and run one at a time, so that their
        # retries cannot add up to a retry storm.
        return ran == "no" or reason == "crash" or self.retry_budget.take()

    def _dispatch(self, now_s):
        """Refuse expired requests, then start all requests that have capacity."""
        self.pause_ends_s = {at_s for at_s in self.pause_ends_s if at_s > now_s}
        self.demand_meter.update(now_s)
        actions = self._refuse_expired(now_s)
        actions += self._dispatch_suspects(now_s)
        for in_flight in list(self.pending_decode):
            start = self._place(now_s, in_flight, ("decode", "mixed"), "decode")
            if start is not None:
                self.pending_decode.remove(in_flight)
                in_flight.awaiting_decode = False
                actions.append(start)
        for key in list(self.queue.fair_queues):
            while True:
                item = self.queue.peek(key)
                if item is None:
                    break
                start = self._place_new(
                    now_s, self.in_flight_by_id[item.request.request_id]
                )
                if start is None:
                    # The queues after it are tried as well. They cannot take the
                    # capacity that this one waits for, as the same limits hold for
                    # them.
                    break
                self.queue.pop(key)
                actions.append(start)
        return actions

    def _dispatch_suspects(self, now_s):
        """Start the next suspect; queue or refuse those that are no longer suspect."""
        actions = []
        for request_id, in_flight in list(self.suspect_queue.waiting.items()):
            status = self._status_of(in_flight)
            if status == "suspect" and now_s < in_flight.request.deadline_s:
                continue
            self.suspect_queue.remove(request_id)
            if status == "clear":
                self._enqueue(now_s, in_flight)
                continue
            if status == "suspect":
                actions.append(self._refuse_overloaded(now_s, request_id, "quarantine"))
                continue
            del self.in_flight_by_id[request_id]
            refusal = Refuse(
                request_id, "crashing_request", in_flight.ran, None, "quarantine", ""
            )
            actions.append(self._record_refusal(now_s, refusal))
        in_flight = self.suspect_queue.next_ready(now_s)
        # No suspect starts while a crash waits for its evaluation, as one of them is
        # about to be convicted.
        if in_flight is None or self.quarantine.pending_crashes:
            return actions
        state = self._choose_suspect_endpoint(now_s, in_flight)
        if state is None:
            return actions
        self.suspect_queue.start_trial(in_flight.request.request_id)
        stage = "prefill" if state.role == "prefill" else "whole"
        actions.append(self._start(now_s, in_flight, state, stage))
        return actions

    def _other_hosts(self):
        """Return the other hosts that may try suspects, with or without load updates.

        If only hosts with a received load update counted, hosts that had not yet
        received each other's would choose the same engine, and a harmless suspect
        would be lost together with the one that crashes engines.
        """
        return sorted({*self.peer_updated_s, *self.cell_host_names} - {self.host})

    def _choose_suspect_endpoint(self, now_s, in_flight):
        """Return the endpoint on which to try a suspect now, or None."""
        names = []
        usable = {}
        for role in ("prefill", "mixed"):
            for _, state in self.endpoint_index.by_role[role]:
                names.append((role != "prefill", state.name))
                # The next trial has to be on another engine, as the engine itself
                # may be the cause of the crash.
                if state.name in in_flight.failed_endpoints:
                    continue
                if state.accepts_work(now_s, in_flight.request.idempotent):
                    usable[state.name] = state
        name = choose_suspect_engine(
            self.host, self._other_hosts(), sorted(names), usable
        )
        return usable.get(name)

    def _refuse_expired(self, now_s):
        """Refuse waiting requests that can no longer meet their deadlines."""
        actions = []
        while True:
            item = self.queue.pop_expired(now_s)
            if item is None:
                break
            actions.append(
                self._refuse_overloaded(now_s, item.request.request_id, "queue")
            )
        for in_flight in list(self.pending_decode):
            if now_s < in_flight.request.deadline_s:
                continue
            self.pending_decode.remove(in_flight)
            # Prefill has run, so the refusal must not say that nothing ran.
            in_flight.ran = "unknown"
            request_id = in_flight.request.request_id
            actions.append(self._refuse_overloaded(now_s, request_id, "decode"))
        return actions

    def _refuse_overloaded(self, now_s, request_id, step):
        """Remove a request that waited too long; return its refusal."""
        in_flight = self.in_flight_by_id.pop(request_id)
        wait_s = self._wait_s(in_flight.rank)
        retry_s = admission.retry_after_s(wait_s, 0.0)
        refusal = Refuse(request_id, "overloaded", in_flight.ran, retry_s, step, "")
        return self._record_refusal(now_s, refusal, in_flight.request.fingerprint)

    def _remove_silent_peers(self, now_s):
        """Remove the load of peers that have sent no update for `PEER_TIMEOUT_S`."""
        for peer, updated_s in list(self.peer_updated_s.items()):
            if now_s - updated_s < PEER_TIMEOUT_S:
                continue
            del self.peer_updated_s[peer]
            for state in self.endpoint_states.values():
                state.on_peer_load(peer, None)
                self.endpoint_index.update(state)

    def _place_new(self, now_s, in_flight):
        """Start a queued request on a mixed or prefill endpoint; None if none can."""
        roles = ["mixed"]
        # A separate prefill stage needs an endpoint that can decode afterwards. For
        # prefill-heavy requests it may be full now: their KV cache can wait, and
        # prefill engines would idle if these requests waited for a decode slot.
        if self._has_decode_candidate(now_s, in_flight):
            roles.append("prefill")
        return self._place(now_s, in_flight, roles, None)

    def _has_decode_candidate(self, now_s, in_flight):
        """Return whether an endpoint could decode a request after its prefill."""
        for role in ("decode", "mixed"):
            for state in self._candidates(role, now_s, in_flight):
                if in_flight.queue_key.prefill_heavy or has_decode_capacity(
                    state, in_flight.queue_key
                ):
                    return True
        return False

    def _candidates(self, role, now_s, in_flight):
        """Return the least loaded endpoints of a role that accept a request."""
        idempotent = in_flight.request.idempotent
        return self.endpoint_index.candidates(
            role, now_s, idempotent, in_flight.failed_endpoints
        )

    def _has_capacity(self, state, in_flight):
        """Return whether an endpoint can start a request without a long wait."""
        if not has_prefill_capacity(state, in_flight.queue_key, in_flight.kv_tokens()):
            return False
        return state.role == "prefill" or has_decode_capacity(
            state, in_flight.queue_key
        )

    def _place(self, now_s, in_flight, roles, stage):
        """Start a request on an endpoint of one of the roles; None if none can.

        A ``stage`` of None means a first stage, whose kind follows from the role.
        """
        names, n_blocks = self.prefix_index.longest_match(
            in_flight.request.prefix_hashes
        )
        candidates = []
        for role in roles:
            for state in self._candidates(role, now_s, in_flight):
                # A decode stage is sent without a capacity check: its KV cache
                # occupies the prefill engine until it is fetched, and the decode
                # engine orders waiting requests by priority.
                if stage is None and not self._has_capacity(state, in_flight):
                    continue
                candidates.append(state)
        best, best_cost_s = None, None
        for state in self._sample_candidates(candidates, names):
            cached_tokens = (
                n_blocks * TOKENS_PER_PREFIX_BLOCK if state.name in names else 0
            )
            cost_s = placement_cost_s(state, self.zone, cached_tokens)
            if best is None or cost_s < best_cost_s:
                best, best_cost_s = state, cost_s
        if best is None:
            return None
        if stage is None:
            stage = "prefill" if best.role == "prefill" else "whole"
        return self._start(now_s, in_flight, best, stage)

    def _sample_candidates(self, states, cached_names):
        """Return two random endpoints, and those that have the prefix in cache."""
        if len(states) <= 2:
            return states
        first = self.draw(len(states))
        second = (first + 1 + self.draw(len(states) - 1)) % len(states)
        drawn = [states[first], states[second]]
        for state in states:
            if state.name in cached_names and state not in drawn:
                drawn.append(state)
        return drawn

    def _start(self, now_s, in_flight, state, stage):
        """Count a request on an endpoint and return the action that starts it."""
        in_flight.endpoint_state = state
        in_flight.first_token_s = None
        in_flight.stage = stage
        in_flight.started_s = now_s
        state.health.on_start()
        state.own_running += 1
        state.own_kv_tokens += in_flight.kv_tokens()
        if stage != "decode":
            in_flight.pending_prompt_tokens = in_flight.request.prompt_tokens
            state.own_prompt_tokens += in_flight.pending_prompt_tokens
        self.endpoint_index.update(state)
        request_id = in_flight.request.request_id
        self._record(now_s, request_id, "start", endpoint=state.name, stage=stage)
        return Start(request_id, state.name, stage, in_flight.rank, in_flight.attempt)

    def _release_cache(self, in_flight):
        """Stop counting a request's KV cache on its prefill endpoint."""
        if in_flight.kv_holder is None:
            return
        in_flight.kv_holder.own_kv_tokens -= in_flight.kv_tokens()
        in_flight.kv_holder = None
        remaining_s = self.awaiting_decode_s[in_flight.rank] - in_flight.work.decode_s
        self.awaiting_decode_s[in_flight.rank] = max(0.0, remaining_s)

    def _detach(self, in_flight):
        """Stop counting a request on the endpoints that it uses."""
        self._release_cache(in_flight)
        state = in_flight.endpoint_state
        if state is None:
            return
        state.own_running -= 1
        state.own_kv_tokens -= in_flight.kv_tokens()
        state.own_prompt_tokens -= in_flight.pending_prompt_tokens
        in_flight.pending_prompt_tokens = 0
        in_flight.endpoint_state = None
        self.endpoint_index.update(state)

    def _remove_endpoint(self, name):
        """Remove an endpoint that is no longer listed."""
        state = self.endpoint_states[name]
        state.leaving = True
        self.endpoint_index.set_indexed(state, False)
        # The platform's list lags and may omit an engine for a moment. The state is
        # kept while requests run there, so that the load is known when the engine is
        # listed again.
        if not state.own_running:
            del self.endpoint_states[name]

    def _record_refusal(self, now_s, refusal, fingerprint=None):
        """Record a refusal and return it; a fingerprint reserves the retry's place."""
        if fingerprint is not None and refusal.retry_after_s is not None:
            self.retry_reservations.add(fingerprint, now_s + refusal.retry_after_s)
        self._record(
            now_s,
            refusal.request_id,
            "refused",
            code=refusal.code,
            retry_after_s=refusal.retry_after_s,
        )
        return refusal

    def _record(self, now_s, request_id, event, **details):
        """Add an event to the decisions on a request."""
        events = self.histories.get(request_id)
        if events is None:
            events = self.histories[request_id] = []
            if len(self.histories) > MAX_HISTORIES:
                self.histories.popitem(last=False)
        events.append({"at_s": now_s, "event": event, **details})
