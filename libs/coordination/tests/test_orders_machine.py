"""State machine test: leases and orders under random faults, in simulated time."""

import itertools

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from gypsumusher_coordination import (
    CallFailed,
    Lease,
    LeaseGained,
    LeaseLost,
    OrderCallFailed,
    OrderController,
    OrderEnded,
    OrderReply,
    QueryOrder,
    ReadDone,
    ReadObject,
    SendOrder,
    StoredObject,
    TermsClosed,
    WriteConflict,
    WriteDone,
    WriteObject,
)

DURATION_S = 6.0
TIMEOUT_S = 2.0
# Per deployment: whether its engine refuses old fencing numbers, and after how many
# seconds it closes connections.
DEPLOYMENTS = {
    "checks": ("refuses", TIMEOUT_S),
    "ignores": ("ignores", TIMEOUT_S),
    "checks unlimited": ("refuses", None),
    "ignores unlimited": ("ignores", None),
}
GOALS = [{"role": "prefill"}, {"role": "decode"}, {"drain": True}]
# Steps of the host program in one turn. A rule omits some to stop the program between
# two steps.
STEPS = ["tick", "platform", "hear", "open", "check", "write", "arrive", "reply"]
PICK = st.integers(0, 1000)
DEPLOYMENT = st.sampled_from(sorted(DEPLOYMENTS))


TURN_S = 0.4
# Values of the parameters of `order_from_the_past`.
DELAYED_ORDER_VALUES = {
    "name": sorted(DEPLOYMENTS),
    "stop": STEPS[STEPS.index("open") :],
    "cut_s": [0.0, 4.8, 5.2, 5.6, 6.0],
    "then": ["take over", "hand over", "alone"],
    "seconds": [0.0, 1.2, 1.6, 2.0, 8.0],
    "gives_up": [False, True],
}


class Platform:
    """Versioned objects with conditional writes."""

    def __init__(self):
        self.objects = {}
        self.revisions = itertools.count(1)

    def apply(self, call):
        place = (call.kind, call.name)
        stored = self.objects.get(place)
        if isinstance(call, ReadObject):
            return ReadDone(call.tag, stored)
        if (stored.version if stored else 0) != call.if_version:
            return WriteConflict(call.tag, stored)
        self.objects[place] = StoredObject(next(self.revisions), call.value)
        return WriteDone(call.tag, self.objects[place].version)


class Engine:
    """An engine that keeps its orders by id until it crashes."""

    def __init__(self, fencing, timeout_s):
        self.refuses = fencing == "refuses"
        self.timeout_s = timeout_s
        self.epoch = 0
        # The newest term that sent an order to this engine, and that order's id.
        self.newest_sender = (0, "")
        self.start()

    def start(self):
        self.max_term = 0
        self.states = {}
        self.newest = ""

    def crash(self):
        self.epoch += 1
        self.start()

    def is_running(self):
        return self.states.get(self.newest) == "running"

    def take(self, send):
        """Handle an order; return the state that the engine replies."""
        if send.order_id in self.states:
            return self.states[send.order_id]
        if self.refuses and send.term < self.max_term:
            return "stale_term"
        self.max_term = max(self.max_term, send.term)
        assert not self.is_running(), f"{send} arrived while {self.newest} is running"
        is_same_order = send.order_id == self.newest_sender[1]
        assert send.term >= self.newest_sender[0] or is_same_order, (
            f"{send} of a former term took effect"
        )
        self.states[send.order_id] = "running"
        self.newest = send.order_id
        return "accepted"


class Process:
    """One incarnation of a host with its leases and order controllers."""

    def __init__(self, host, number, offset_s):
        self.host = host
        self.incarnation = f"{host}-{number}"
        self.offset_s = offset_s
        self.paused = False
        self.alive = True
        nonces = itertools.count()
        self.leases = {}
        self.controllers = {}
        for name, (fencing, timeout_s) in DEPLOYMENTS.items():
            lease = Lease(
                name,
                host,
                self.incarnation,
                DURATION_S,
                lambda: f"{self.incarnation}:{next(nonces)}",
            )
            self.leases[name] = lease
            self.controllers[name] = OrderController(
                name, fencing, timeout_s, lease.term_validity
            )
            self.controllers[name].set_engines(0.0, [name])

    def runs(self):
        return self.alive and not self.paused


class Call:
    """A call to the platform or to an engine that is in flight."""

    def __init__(self, process, machine, deployment, effect):
        self.process = process
        self.machine = machine
        self.deployment = deployment
        self.effect = effect
        self.stage = "new"
        self.answer = None
        # The caller has abandoned the call, but it may still arrive.
        self.is_abandoned = False
        self.opened_s = 0.0
        self.epoch = 0


class OrdersMachine(RuleBasedStateMachine):
    """Invariants: one holder per lease, no concurrent orders, none of a former term.

    Faults: hosts are paused at any point, also between the check of the clock and the
    write; responses of the platform and of engines are lost or late; processes die
    with calls in flight; leases expire, are taken over and released; engines crash
    during an order; an operator confirms dead hosts.

    The names of the rules determine the order of the derandomized examples.
    """

    @initialize(offsets=st.lists(st.integers(-500, 500), min_size=2, max_size=2))
    def begin(self, offsets):
        self.now_s = 1000.0
        self.platform = Platform()
        self.engines = {name: Engine(*DEPLOYMENTS[name]) for name in DEPLOYMENTS}
        self.numbers = itertools.count(1)
        self.offsets = offsets
        self.calls = []
        self.ended_orders = []
        self.processes = []
        self.processes = [self.spawn(0), self.spawn(1)]
        self.all_processes = list(self.processes)
        self.run_for([0, 1], 1)

    def spawn(self, place):
        host = "ab"[place]
        process = Process(host, next(self.numbers), float(self.offsets[place]))
        return process

    def local_s(self, process):
        return self.now_s + process.offset_s

    # The host program that runs the state machines

    def perform(self, process, machine, deployment, effects):
        lease, controller = process.leases[deployment], process.controllers[deployment]
        now_s = self.local_s(process)
        for effect in effects:
            if isinstance(effect, LeaseGained):
                more = controller.on_lease_gained(now_s, effect.term, effect.open_terms)
                self.perform(process, controller, deployment, more)
            elif isinstance(effect, LeaseLost):
                controller.on_lease_lost(now_s)
            elif isinstance(effect, TermsClosed):
                lease.close_terms(effect.terms)
            elif isinstance(effect, OrderEnded):
                self.ended_orders.append(effect)
                self.engines[deployment].newest_sender = (controller.term, "")
            else:
                self.record_sender(effect)
                self.calls.append(Call(process, machine, deployment, effect))

    def record_sender(self, effect):
        if not isinstance(effect, SendOrder):
            return
        engine = self.engines[effect.engine]
        if effect.term >= engine.newest_sender[0]:
            engine.newest_sender = (effect.term, effect.order_id)

    def handle(self, call, event):
        if call.is_abandoned:
            self.calls.remove(call)
            return
        if not call.process.runs():
            return
        self.calls.remove(call)
        now_s = self.local_s(call.process)
        effects = call.machine.handle(now_s, event)
        self.perform(call.process, call.machine, call.deployment, effects)

    def is_order(self, call):
        return isinstance(call.effect, SendOrder | QueryOrder)

    def step(self, call, allowed):
        """Advance one call by a stage, if the step is allowed."""
        if not self.is_order(call):
            return self.step_platform(call, allowed)
        if call.stage == "new" and "open" in allowed and call.process.runs():
            engine = self.engines[call.deployment]
            call.opened_s, call.epoch = self.now_s, engine.epoch
            call.stage = "opened"
        elif call.stage == "opened" and "check" in allowed and call.process.runs():
            call.stage = "checked"
            if isinstance(call.effect, SendOrder):
                if self.local_s(call.process) >= call.effect.not_after_s:
                    self.handle(call, self.failed(call, sent=False))
        elif call.stage == "checked" and "write" in allowed and call.process.runs():
            call.stage = "written"
        elif call.stage == "written" and "arrive" in allowed:
            self.arrive(call)
        elif call.stage == "arrived" and "reply" in allowed:
            self.handle(call, call.answer)

    def step_platform(self, call, allowed):
        if call.stage == "new" and "platform" in allowed:
            call.answer = self.platform.apply(call.effect)
            call.stage = "arrived"
            if call.is_abandoned:
                self.calls.remove(call)
        elif call.stage == "arrived" and "hear" in allowed:
            self.handle(call, call.answer)

    def failed(self, call, sent):
        effect = call.effect
        if not self.is_order(call):
            return CallFailed(effect.tag, sent and isinstance(effect, WriteObject))
        order_id = getattr(effect, "order_id", "")
        return OrderCallFailed(effect.engine, order_id, sent, effect.tag)

    def arrive(self, call):
        """Deliver a written order or query to the engine if its connection is open."""
        engine, effect = self.engines[call.deployment], call.effect
        call.stage = "arrived"
        if call.is_abandoned:
            self.calls.remove(call)
        limit_s = engine.timeout_s
        is_closed = limit_s is not None and self.now_s >= call.opened_s + limit_s
        if is_closed or call.epoch != engine.epoch:
            call.answer = self.failed(call, sent=True)
            return
        if isinstance(effect, SendOrder):
            state, order_id = engine.take(effect), effect.order_id
        else:
            order_id = engine.newest
            state = engine.states.get(order_id, "none")
        call.answer = OrderReply(effect.engine, order_id, state, effect.tag)

    def tick(self, process):
        now_s = self.local_s(process)
        for name in DEPLOYMENTS:
            for machine in (process.leases[name], process.controllers[name]):
                self.perform(process, machine, name, machine.tick(now_s))

    def turn(self, process, allowed):
        """Run the allowed steps of one process and its calls in flight."""
        if "tick" in allowed and process.runs():
            self.tick(process)
        for _ in range(4):
            for call in list(self.calls):
                if (
                    call in self.calls
                    and call.process is process
                    and not call.is_abandoned
                ):
                    self.step(call, allowed)

    def run_for(self, places, seconds):
        for _ in range(round(seconds / TURN_S)):
            self.now_s += TURN_S
            for place in places:
                self.turn(self.processes[place], STEPS)

    def holder_index(self, name):
        """Return the index of the running lease holder, or None."""
        for place, process in enumerate(self.processes):
            held = process.leases[name].is_held(self.local_s(process))
            if process.runs() and held:
                return place
        return None

    def order(self, place, name, goal):
        process = self.processes[place]
        controller = process.controllers[name]
        effects = controller.set_goal(self.local_s(process), name, goal)
        self.perform(process, controller, name, effects)

    # Rules

    @rule(place=st.integers(0, 1), allowed=st.sets(st.sampled_from(STEPS)))
    def work_partly(self, place, allowed):
        self.turn(self.processes[place], allowed | {"tick"})

    @rule(place=st.integers(0, 1))
    def work(self, place):
        self.turn(self.processes[place], STEPS)

    @rule(tenths=st.integers(1, 30))
    def pass_time(self, tenths):
        self.now_s += tenths / 10

    @rule(seconds=st.integers(1, 20), busy=st.sets(st.integers(0, 1)))
    def pass_time_working(self, seconds, busy):
        self.run_for(sorted(busy), seconds)

    @rule(name=DEPLOYMENT, goal=st.sampled_from(GOALS), works=st.booleans())
    def want(self, name, goal, works):
        place = self.holder_index(name)
        if place is None:
            return
        self.order(place, name, goal)
        if works:
            self.turn(self.processes[place], STEPS)

    @rule(
        **{key: st.sampled_from(values) for key, values in DELAYED_ORDER_VALUES.items()}
    )
    def order_from_the_past(self, name, stop, cut_s, then, seconds, gives_up):
        """An order is delayed at some step and continues after a takeover.

        The holder has written the intent, can't reach the platform for a while,
        proceeds to the step before `stop` and is paused. Another host takes over and
        may hand over to a third one, or no host does and the first one regains the
        lease. The next holder sends another order, then the first order continues.
        """
        place = self.holder_index(name)
        if place is None:
            return
        process, other = self.processes[place], 1 - place
        self.processes[other].paused = False
        self.order(place, name, GOALS[0])
        self.turn(process, ["tick", "platform", "hear"])
        for _ in range(round(cut_s / TURN_S)):
            self.turn(process, ["tick"])
            self.run_for([other], TURN_S)
        self.turn(process, STEPS[STEPS.index("open") : STEPS.index(stop)])
        if gives_up:
            for call in [call for call in self.calls if call.process is process]:
                self.abandon_call(call)
        process.paused = True
        if then == "alone":
            self.now_s += DURATION_S + 1.0
            process.paused = False
            self.run_for([place], 2)
        else:
            self.run_for([other], seconds)
        if then == "hand over":
            self.restart_planned(other)
        successor = self.holder_index(name)
        if successor is not None:
            for _ in range(3):
                self.turn(self.processes[successor], STEPS)
            self.order(successor, name, GOALS[1])
            self.turn(self.processes[successor], ["platform", "hear", "open"])
        process.paused = False
        self.turn(process, ["open", "check", "write", "arrive"])
        self.land_late_calls()

    @rule(place=st.integers(0, 1), seconds=st.integers(1, 5), after=st.integers(0, 5))
    def slow_answers(self, place, seconds, after):
        """The platform applies a host's calls and responds seconds later."""
        self.turn(self.processes[place], ["tick", "platform"])
        self.run_for([1 - place], seconds)
        self.turn(self.processes[place], ["hear"])
        self.run_for([1 - place], after)

    @rule(place=st.integers(0, 1))
    def restart_planned(self, place):
        """The host, without orders in flight, releases its leases and exits."""
        process = self.processes[place]
        controllers = process.controllers.values()
        if not process.runs() or any(
            controller.has_orders_in_flight() for controller in controllers
        ):
            return
        for name, lease in process.leases.items():
            effects = lease.release(self.local_s(process))
            self.perform(process, lease, name, effects)
        for _ in range(3):
            self.now_s += TURN_S
            self.turn(process, ["tick", "platform", "hear"])
        self.kill(place)
        self.run_for([place], 3)

    @rule(place=st.integers(0, 1))
    def pause(self, place):
        self.processes[place].paused = True

    @rule(place=st.integers(0, 1))
    def resume(self, place):
        self.processes[place].paused = False

    @rule(place=st.integers(0, 1))
    def kill(self, place):
        process = self.processes[place]
        process.alive = False
        unwritten = [
            call
            for call in self.calls
            if call.process is process
            and self.is_order(call)
            and call.stage != "written"
        ]
        for call in self.calls:
            call.is_abandoned = call.is_abandoned or call.process is process
        self.calls = [call for call in self.calls if call not in unwritten]
        self.processes[place] = self.spawn(place)
        self.all_processes.append(self.processes[place])

    @precondition(lambda self: self.calls)
    @rule(pick=PICK)
    def give_up(self, pick):
        """The caller gets an error immediately; the call stays in flight."""
        self.abandon_call(self.calls[pick % len(self.calls)])

    def abandon_call(self, call):
        if call.is_abandoned or not call.process.runs() or call.stage == "arrived":
            return
        sent = not self.is_order(call) or call.stage == "written"
        self.handle(call, self.failed(call, sent))
        if sent:
            call.is_abandoned = True
            self.calls.append(call)

    @precondition(lambda self: self.calls)
    @rule(pick=PICK)
    def lose_answer(self, pick):
        call = self.calls[pick % len(self.calls)]
        if call.stage == "arrived":
            call.answer = self.failed(call, sent=True)

    @precondition(lambda self: self.calls)
    @rule(pick=PICK)
    def move_one(self, pick):
        """Advance any call by a stage, also an abandoned one."""
        self.step(self.calls[pick % len(self.calls)], STEPS)

    @rule()
    def land_late_calls(self):
        for call in [call for call in self.calls if call.is_abandoned]:
            self.step(call, ["platform", "arrive"])

    @rule(name=DEPLOYMENT, state=st.sampled_from(["done", "failed"]))
    def finish_order(self, name, state):
        engine = self.engines[name]
        if engine.is_running():
            engine.states[engine.newest] = state

    @rule(name=DEPLOYMENT, seconds=st.integers(0, 3))
    def list_loses_engine(self, name, seconds):
        for engines in ([], [name]):
            for process in self.processes:
                if process.runs():
                    controller = process.controllers[name]
                    effects = controller.set_engines(self.local_s(process), engines)
                    self.perform(process, controller, name, effects)
            self.run_for([0, 1], seconds)

    @rule(name=DEPLOYMENT)
    def crash_engine(self, name):
        self.engines[name].crash()

    @rule(name=DEPLOYMENT)
    def confirm_dead(self, name):
        """An operator confirms hosts as dead that have no order in flight."""
        alive = {process.incarnation for process in self.all_processes if process.alive}
        for call in self.calls:
            if self.is_order(call):
                alive.add(call.process.incarnation)
        for process in self.processes:
            controller = process.controllers[name]
            for term in controller.blocking_terms():
                if term.incarnation in alive or not process.runs():
                    continue
                effects = controller.confirm_holder_dead(
                    self.local_s(process), term.term
                )
                self.perform(process, controller, name, effects)

    # Invariants

    @invariant()
    def one_process_believes_in_a_lease(self):
        for name in DEPLOYMENTS:
            holders = [
                process.incarnation
                for process in self.all_processes
                if process.alive and process.leases[name].is_held(self.local_s(process))
            ]
            assert len(holders) <= 1, f"{name}: {holders}"

    def teardown(self):
        """After all faults end, every engine completes a new order."""
        if not hasattr(self, "processes"):
            return
        self.land_late_calls()
        for process in self.processes:
            process.paused = False
        self.run_until_idle()
        # Engines without a timeout need the operator, who restarts the hosts of
        # blocking terms and confirms the former incarnations as dead.
        blocking_incarnations = {
            term.incarnation
            for process in self.processes
            for term in process.controllers["ignores unlimited"].blocking_terms()
        }
        for place, process in enumerate(list(self.processes)):
            if process.incarnation in blocking_incarnations:
                self.kill(place)
        self.run_until_idle()
        self.land_late_calls()
        for name in DEPLOYMENTS:
            self.confirm_dead(name)
        self.run_until_idle()
        for name in DEPLOYMENTS:
            self.check_completes_order(name)

    def run_until_idle(self):
        for _ in range(40):
            self.now_s += 0.5
            for process in self.processes:
                self.turn(process, STEPS)
            for engine in self.engines.values():
                if engine.is_running():
                    engine.states[engine.newest] = "done"

    def check_completes_order(self, name):
        (holder,) = [
            process
            for process in self.processes
            if process.leases[name].is_held(self.local_s(process))
        ]
        controller = holder.controllers[name]
        assert controller.blocking_terms() == (), (
            f"{name} is blocked by {controller.blocking_terms()}"
        )
        assert controller.busy_engines() == set(), f"{name} has an unfinished order"
        before = len(self.ended_orders)
        effects = controller.set_goal(self.local_s(holder), name, {"adapter": "last"})
        self.perform(holder, controller, name, effects)
        self.run_until_idle()
        (ended_order,) = self.ended_orders[before:]
        assert (ended_order.state, ended_order.goal) == ("done", {"adapter": "last"})
        assert self.engines[name].newest == ended_order.order_id


TestOrdersMachine = OrdersMachine.TestCase
TestOrdersMachine.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=50,
)


def test_delayed_orders_of_a_former_holder_never_take_effect():
    """A delayed order of a former lease holder must not take effect.

    Runs `OrdersMachine.order_from_the_past` with all combinations of parameters, of
    which the state machine's random runs cover only some.
    """
    for variant in itertools.product(*DELAYED_ORDER_VALUES.values()):
        machine = OrdersMachine()
        machine.begin([3, -7])
        machine.order_from_the_past(**dict(zip(DELAYED_ORDER_VALUES, variant)))
        machine.one_process_believes_in_a_lease()
