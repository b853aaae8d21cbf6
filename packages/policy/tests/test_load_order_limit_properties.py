"""Property tests of the load-order limit on a simulated network that delays, holds back and loses messages.

The limit is checked against the times at which load orders arrive at the workers.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush

import pytest
from hypothesis import HealthCheck, Phase, example, find, given, settings
from hypothesis import strategies as st

from walnutpost import interface as api
from walnutpost.policy import Router
from walnutpost.policy.load_order_limit import LoadOrderLimit
from walnutpost.testsupport.node.ration_checker import LoadOrderLog, SlidingWindowLimit, describe_violations
from walnutpost.testsupport.policy.harness import SECOND_US, SETTINGS, listed_worker

Outcome = api.Outcome
WINDOW_US = 2 * SECOND_US
START_US = 100 * SECOND_US
ORDER_TIMEOUT_US = 3 * SECOND_US  # after which the transport gives up on an order
CLIENT_TIMEOUT_US = 3 * SECOND_US
LOAD_TIME_US = SECOND_US
SETTLING_TIME_US = 12 * SECOND_US  # at the end of a scenario, so that all delayed messages arrive
FRONT_END = "front"
# Outcomes that prove a request genuine: workers never answer repeated requests with them.
GENUINE_OUTCOMES = frozenset((Outcome.OK, Outcome.FULL, Outcome.MISS))


@dataclass(frozen=True, slots=True)
class Delivery:
    """How the network and the worker treat one message.

    `outcome` is the answer of the worker. EXPIRED, CONNECT_FAILED and RESET are what the front end sees;
    after a RESET the worker may still receive the message.
    """

    outcome: Outcome
    send_delay_us: int
    delivery_delay_us: int
    processing_time_us: int
    answer_delay_us: int


@dataclass(frozen=True, slots=True)
class Step:
    """A fault or an action of the clients, and the pause after it.

    `kind` is one of STEP_KINDS. `selector` chooses a worker, a number of requests or a variant of the step.
    """

    kind: str
    selector: int
    duration_us: int
    pause_us: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """The settings, the faults and the behaviour of the network in one simulation.

    The messages take `deliveries` in turn, again from the first after the last.

    If `answers_prove_delivery` is set, a partition or a slow connection delays answers as well. An answer
    then proves that everything sent to its worker has arrived, and the worker list reports restarts at once.
    Otherwise an answer proves only the arrival of what was sent before the message that it answers, and the
    worker list reports restarts late.
    """

    free_orders: float
    orders_per_request: float
    workers: int
    seed: int
    answers_prove_delivery: bool
    steps: tuple[Step, ...]
    deliveries: tuple[Delivery, ...]

    @property
    def router_settings(self) -> api.Settings:
        guards = replace(
            SETTINGS.guards,
            free_load_orders=self.free_orders,
            load_orders_per_request=self.orders_per_request,
            load_order_window_us=WINDOW_US,
        )
        limits = replace(SETTINGS.limits, max_attempts=3)
        return replace(
            SETTINGS,
            guards=guards,
            limits=limits,
            load_order_timeout_us=ORDER_TIMEOUT_US,
            may_miss_restarts=True,
        )


@dataclass(slots=True, eq=False)
class Message:
    """A load order, a probe or an attempt that the front end sends to a worker."""

    action: api.LoadOrder | api.Send
    delivery: Delivery
    front_end_incarnation: int
    worker_incarnation: int
    sent_us: int
    attempt: int = 0
    arrives_us: int = 0
    ended: bool = False

    @property
    def is_order(self) -> bool:
        return isinstance(self.action, api.LoadOrder) and self.action.copies > 0


@dataclass(slots=True, eq=False)
class Connection:
    """The connection to one worker, and the worker process. Messages arrive in the order of sending."""

    started_us: int = 0
    incarnation: int = 0
    alive: bool = True
    draining: bool = False
    partitioned_until_us: int = 0
    stalled_until_us: int = 0
    in_flight: deque[Message] = field(default_factory=deque)
    held_answers: deque[Callable[[], None]] = field(default_factory=deque)


@dataclass(slots=True, eq=False)
class ClientRequest:
    written_us: int
    function: int
    is_repeat: bool  # the client marks it as a retry, and workers answer it with an error
    attempts: int = 0
    counted: bool = False
    cancelled: bool = False
    answered: bool = False


class Network:
    """A simulation, in virtual time, of one front end with its workers and clients.

    The log records what arrives at the workers and what the clients send.
    """

    def __init__(self, scenario: Scenario, router_type: type[Router]) -> None:
        self.scenario, self.router_type = scenario, router_type
        self.now = START_US
        self.log = LoadOrderLog()
        self.connections = {worker_id: Connection() for worker_id in range(1, scenario.workers + 1)}
        self.requests: dict[int, ClientRequest] = {}
        self.messages: list[Message] = []
        (
            self.front_end_incarnation,
            self.front_end_stalled_until_us,
            self.next_delivery,
            self.next_worker_id,
        ) = 0, 0, 0, scenario.workers + 1
        self.event_queue: list[tuple[int, int, Callable[[], None]]] = []
        self.scheduled_count = 0
        self.start_front_end()

    # Event queue.

    def schedule(self, at_us: int, callback: Callable[[], None]) -> None:
        self.scheduled_count += 1
        heappush(self.event_queue, (max(at_us, self.now), self.scheduled_count, callback))

    def advance(self, duration_us: int) -> None:
        end_us = self.now + duration_us
        while self.event_queue and self.event_queue[0][0] <= end_us:
            self.now, _, callback = heappop(self.event_queue)
            callback()
        self.now = end_us

    # The front end.

    def start_front_end(self) -> None:
        self.front_end_incarnation += 1
        self.router = self.router_type(
            self.scenario.router_settings, self.scenario.seed + self.front_end_incarnation
        )
        self.run_at_front_end(self.send_worker_list)

    def run_at_front_end(self, callback: Callable[[], None], delay_us: int = 0) -> None:
        """Run the callback in this incarnation of the front end, after its stall if it is stalled."""
        incarnation = self.front_end_incarnation

        def run_after_stall() -> None:
            if self.front_end_incarnation != incarnation:
                return
            if self.now < self.front_end_stalled_until_us:
                return self.schedule(self.front_end_stalled_until_us, run_after_stall)
            callback()

        if delay_us:
            self.schedule(self.now + delay_us, run_after_stall)
        else:
            run_after_stall()

    def feed(self, event: api.Event) -> None:
        for action in self.router.handle(self.now, event):
            match action:
                case api.Send():
                    self.send(action)
                case api.LoadOrder():
                    self.send(action)
                case api.Reject(request) | api.Fail(request):
                    self.requests[request].answered = True
                case api.Cancel(request, attempt):
                    self.cancel(request, attempt)
                case api.SetTimer(delay_us, token):
                    self.run_at_front_end(lambda token=token: self.feed(api.TimerDue(token)), delay_us)  # type: ignore[misc]

    def send_worker_list(self) -> None:
        listed = tuple(
            listed_worker(
                worker_id,
                api.WorkerState.DRAINING if connection.draining else api.WorkerState.READY,
                connection.started_us,
            )
            for worker_id, connection in sorted(self.connections.items())
            if connection.alive
        )
        self.feed(api.WorkersListed(api.ListKind.FULL, 1, listed))

    def cancel(self, request: int, attempt: int) -> None:
        for message in self.messages:
            action = message.action
            if isinstance(action, api.Send) and (action.request, message.attempt) == (request, attempt):
                self.run_at_front_end(
                    lambda message=message: self.end_message(message, Outcome.CANCELLED),  # type: ignore[misc]
                    5_000,
                )

    def end_message(self, message: Message, outcome: Outcome) -> None:
        """Tell the front end how a message ended, unless it knows or has restarted since."""
        if message.ended or message.front_end_incarnation != self.front_end_incarnation:
            return
        message.ended = True
        self.messages.remove(message)
        action, ok, latency = message.action, outcome is Outcome.OK, self.now - message.sent_us
        if isinstance(action, api.LoadOrder):
            copies = max(1, action.copies) if ok else 0
            self.feed(
                api.LoadOrderEnded(
                    action.worker, action.function, outcome, latency, copies, ordered_copies=action.copies
                )
            )
            return
        request = self.requests[action.request]
        if outcome in GENUINE_OUTCOMES and not request.counted and not request.cancelled:
            request.counted = True
            self.log.log_request(FRONT_END, request.written_us)
        finished = ok or request.answered or request.cancelled
        request.answered = request.answered or ok
        self.feed(
            api.AttemptEnded(
                action.request,
                message.attempt,
                action.worker,
                outcome,
                latency,
                finished,
                api.Warmth.WARM,
                0,
                (),
            )
        )

    # Messages to the workers and their answers.

    def send(self, action: api.LoadOrder | api.Send) -> None:
        delivery = self.scenario.deliveries[self.next_delivery % len(self.scenario.deliveries)]
        self.next_delivery += 1
        connection = self.connections[action.worker]
        message = Message(action, delivery, self.front_end_incarnation, connection.incarnation, self.now)
        timeout_us = ORDER_TIMEOUT_US
        if isinstance(action, api.Send):
            message.attempt = self.requests[action.request].attempts
            self.requests[action.request].attempts += 1
            timeout_us = action.timeout_us
        self.messages.append(message)
        self.run_at_front_end(lambda: self.end_message(message, Outcome.TIMEOUT), timeout_us)
        if not connection.alive or delivery.outcome is Outcome.CONNECT_FAILED:
            return self.run_at_front_end(
                lambda: self.end_message(message, Outcome.CONNECT_FAILED), 1 + delivery.send_delay_us // 8
            )
        is_expired = 0 < action.begin_within_us < delivery.send_delay_us
        if is_expired or delivery.outcome is Outcome.EXPIRED:
            return self.run_at_front_end(
                lambda: self.end_message(message, Outcome.EXPIRED),
                min(delivery.send_delay_us, action.begin_within_us) + 1,
            )
        self.run_at_front_end(lambda: self.transmit(message), delivery.send_delay_us)

    def transmit(self, message: Message) -> None:
        connection = self.connections[message.action.worker]
        if message.ended or not connection.alive or connection.incarnation != message.worker_incarnation:
            return self.end_message(message, Outcome.EXPIRED)
        message.arrives_us = self.now + message.delivery.delivery_delay_us
        connection.in_flight.append(message)
        self.schedule(message.arrives_us, lambda: self.deliver(connection))
        if message.delivery.outcome is Outcome.RESET:
            self.run_at_front_end(
                lambda: self.end_message(message, Outcome.RESET), 1 + message.delivery.processing_time_us
            )

    def deliver(self, connection: Connection) -> None:
        """Let the worker read what has arrived, all at once after a partition or a stall.

        Then release the answers that were held back.
        """
        blocked_until_us = max(connection.partitioned_until_us, connection.stalled_until_us)
        if self.now < blocked_until_us:
            return self.schedule(blocked_until_us, lambda: self.deliver(connection))
        while connection.in_flight and connection.in_flight[0].arrives_us <= self.now:
            self.receive(connection, connection.in_flight.popleft())
        while connection.held_answers and not connection.in_flight:
            connection.held_answers.popleft()()

    def receive(self, connection: Connection, message: Message) -> None:
        if message.is_order:
            self.log.log_load_order(FRONT_END, self.now)
        self.schedule(
            self.now + message.delivery.processing_time_us, lambda: self.send_answer(connection, message)
        )

    def send_answer(self, connection: Connection, message: Message) -> None:
        if message.delivery.outcome is Outcome.RESET or connection.incarnation != message.worker_incarnation:
            return
        if self.now < connection.stalled_until_us:
            return self.schedule(connection.stalled_until_us, lambda: self.send_answer(connection, message))
        self.schedule(
            self.now + message.delivery.answer_delay_us, lambda: self.receive_answer(connection, message)
        )

    def receive_answer(self, connection: Connection, message: Message) -> None:
        def process_answer() -> None:
            if (
                self.scenario.answers_prove_delivery
                and self.now >= self.front_end_stalled_until_us
                and self.holds_answers(connection)
            ):
                connection.held_answers.append(lambda: self.run_at_front_end(process_answer))
                return
            outcome = message.delivery.outcome
            if isinstance(message.action, api.Send) and self.requests[message.action.request].is_repeat:
                outcome = Outcome.ERROR
            self.end_message(message, outcome)

        if message.front_end_incarnation == self.front_end_incarnation:
            self.run_at_front_end(process_answer)

    def holds_answers(self, connection: Connection) -> bool:
        """Whether answers wait until a partition heals or earlier messages arrive."""
        if self.now < connection.partitioned_until_us:
            self.schedule(connection.partitioned_until_us, lambda: self.deliver(connection))
            return True
        return bool(connection.in_flight)

    # Faults and actions of the clients.

    def run_step(self, step: Step) -> None:
        alive = [worker_id for worker_id, connection in self.connections.items() if connection.alive]
        worker_id = alive[step.selector % len(alive)]
        connection = self.connections[worker_id]
        match step.kind:
            case "requests" | "copied":
                self.write_requests(step)
            case "cut":
                connection.partitioned_until_us = max(
                    connection.partitioned_until_us, self.now + step.duration_us
                )
            case "stall":
                connection.stalled_until_us = max(connection.stalled_until_us, self.now + step.duration_us)
            case "front stall":
                self.front_end_stalled_until_us = max(
                    self.front_end_stalled_until_us, self.now + step.duration_us
                )
            case "restart":
                self.end_worker_process(connection)
                connection.started_us, connection.draining = self.now, False
                self.run_at_front_end(
                    self.send_worker_list,
                    0 if self.scenario.answers_prove_delivery else step.duration_us // 8,
                )
            case "drain" if len(alive) > 1:
                connection.draining = True
                self.run_at_front_end(self.send_worker_list)
            case "leave" if len(alive) > 1:
                connection.alive = False
                self.end_worker_process(connection)
                self.run_at_front_end(
                    self.send_worker_list,
                    0 if self.scenario.answers_prove_delivery else step.duration_us // 8,
                )
            case "join":
                self.connections[self.next_worker_id] = Connection(started_us=self.now)
                self.next_worker_id += 1
                self.run_at_front_end(
                    self.send_worker_list,
                    0 if self.scenario.answers_prove_delivery else step.duration_us // 8,
                )
            case "take back":
                self.cancel_requests(step)
            case "new life":
                self.restart_front_end(step)
        self.advance(step.pause_us)

    def write_requests(self, step: Step) -> None:
        for number in range(1 + step.selector % 5):
            request = ClientRequest(self.now, (step.selector * 7 + number) % 200 + 1, step.kind == "copied")
            request_id = len(self.requests) + 1
            self.requests[request_id] = request
            self.run_at_front_end(
                lambda request_id=request_id, request=request: self.read_request(request_id, request)  # type: ignore[misc]
            )

    def read_request(self, request_id: int, request: ClientRequest) -> None:
        waited_us = self.now - request.written_us
        time_left_us = CLIENT_TIMEOUT_US - waited_us
        if request.cancelled:
            return
        self.feed(
            api.RequestArrived(
                request_id,
                0,
                0,
                request.function,
                time_left_us,
                None,
                300.0,
                2,
                LOAD_TIME_US,
                request.is_repeat,
                waited_us,
            )
        )

    def cancel_requests(self, step: Step) -> None:
        open_requests = [
            request_id
            for request_id, request in self.requests.items()
            if not request.answered and not request.cancelled
        ]
        for request_id in open_requests[-1 - step.selector % 4 :]:
            self.requests[request_id].cancelled = True
            self.run_at_front_end(lambda request_id=request_id: self.feed(api.RequestCancelled(request_id)))  # type: ignore[misc]

    def end_worker_process(self, connection: Connection) -> None:
        """End the worker process.

        Messages that it has not read are lost. Some connections are reset at once; the others time out.
        """
        connection.incarnation += 1
        connection.partitioned_until_us = connection.stalled_until_us = 0
        connection.in_flight.clear()
        connection.held_answers.clear()
        for index, message in enumerate(self.messages):
            if self.connections[message.action.worker] is connection and index % 2:
                self.run_at_front_end(lambda message=message: self.end_message(message, Outcome.RESET), 1_000)  # type: ignore[misc]

    def restart_front_end(self, step: Step) -> None:
        """Restart the front end; what it had in flight arrives before the new process starts, or never."""
        is_delivered = bool(step.selector % 2)
        self.advance(step.duration_us)
        for connection in self.connections.values():
            for message in connection.in_flight:
                if is_delivered and message.is_order:
                    self.log.log_load_order(FRONT_END, self.now)
            connection.in_flight.clear()
            connection.held_answers.clear()
        self.messages.clear()
        for request in self.requests.values():
            request.answered = True
        self.front_end_stalled_until_us = 0
        self.start_front_end()


def simulate(scenario: Scenario, router_type: type[Router] = Router) -> LoadOrderLog:
    """Run a scenario and return the log of arrived orders and counted requests."""
    network = Network(scenario, router_type)
    network.advance(WINDOW_US)  # free orders are unavailable for one window after a start
    for step in scenario.steps:
        network.run_step(step)
    network.advance(SETTLING_TIME_US)
    return network.log


def describe_limit_breaches(
    scenario: Scenario, router_type: type[Router] = Router, has_tolerance: bool = False
) -> str:
    """Run a scenario and describe the breaches of the limit; return an empty string if there are none.

    `has_tolerance` allows the tolerance that tests on real sockets have.
    """
    limit_type = SlidingWindowLimit.with_network_slack if has_tolerance else SlidingWindowLimit
    breaches = simulate(scenario, router_type).violations(
        limit_type(scenario.free_orders, scenario.orders_per_request, WINDOW_US)
    )
    return describe_violations(breaches) if breaches else ""


# "requests": clients write new requests, with "copied" marked as retries. "cut": a network partition.
# "stall" and "restart": of a worker. "drain", "leave" and "join": changes of the worker list.
# "take back": clients cancel requests. "front stall" and "new life": the front end stalls or restarts.
STEP_KINDS = (
    *("requests",) * 8,
    *("cut",) * 3,
    *("stall",) * 2,
    *("front stall", "restart", "drain", "leave", "join", "take back", "copied", "new life"),
)
DURATIONS_US = st.sampled_from(
    (0, 50_000, SECOND_US // 2, SECOND_US, 3 * SECOND_US, 5 * SECOND_US, 9 * SECOND_US)
)
PAUSES_US = st.sampled_from((0, 1, 20_000, 200_000, SECOND_US // 2, SECOND_US, WINDOW_US, 2 * WINDOW_US))
DELAYS_US = st.sampled_from((0, 1_000, 30_000, 200_000))
LONG_DELAYS_US = st.sampled_from((0, 0, 1_000, 30_000, 400_000, SECOND_US, WINDOW_US + 1, 3 * WINDOW_US))
OUTCOMES = (
    *(Outcome.OK,) * 6,
    *(Outcome.ERROR, Outcome.FULL, Outcome.MISS),
    *(Outcome.RESET,) * 2,
    *(Outcome.EXPIRED, Outcome.CONNECT_FAILED),
)
FAULTY_DELIVERIES = st.builds(
    Delivery, st.sampled_from(OUTCOMES), DELAYS_US, LONG_DELAYS_US, LONG_DELAYS_US, LONG_DELAYS_US
)
RELIABLE_DELIVERIES = st.builds(Delivery, st.just(Outcome.OK), st.just(0), DELAYS_US, DELAYS_US, DELAYS_US)
DELIVERIES = st.one_of(FAULTY_DELIVERIES, FAULTY_DELIVERIES, RELIABLE_DELIVERIES)


def scenarios(
    answers_prove_delivery: bool, free_orders: st.SearchStrategy[float]
) -> st.SearchStrategy[Scenario]:
    return st.builds(
        Scenario,
        free_orders=free_orders,
        orders_per_request=st.sampled_from((0.1, 0.2, 0.3, 0.5)),
        workers=st.integers(2, 4),
        seed=st.integers(0, 5),
        answers_prove_delivery=st.just(answers_prove_delivery),
        steps=st.lists(
            st.builds(Step, st.sampled_from(STEP_KINDS), st.integers(0, 40), DURATIONS_US, PAUSES_US),
            min_size=12,
            max_size=30,
        ).map(tuple),
        deliveries=st.lists(DELIVERIES, min_size=8, max_size=20).map(tuple),
    )


WHOLE_FREE_ORDERS = st.sampled_from((2.0, 3.0, 4.0, 6.0))
FRACTIONAL_FREE_ORDERS = st.sampled_from((2.0, 2.5, 3.9, 5.5, 6.0))
PROPERTY_SETTINGS = settings(
    max_examples=250,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(
        Phase.explicit,
        Phase.generate,
    ),  # no shrinking: a scenario that breaks the limit is long, and shrinking it takes minutes
    suppress_health_check=list(HealthCheck),
)


# Two failures that these properties found, each as the smallest scenario that reproduces it.
IMMEDIATE_SUCCESS = Delivery(Outcome.OK, 0, 0, 0, 0)
ANSWER_TO_AN_EARLIER_MESSAGE = Scenario(
    free_orders=3.0,
    orders_per_request=0.3,
    workers=2,
    seed=5,
    answers_prove_delivery=False,
    steps=(
        Step("requests", 19, 0, 1),
        Step("requests", 0, 0, SECOND_US),
        Step("requests", 39, 0, 0),
    ),
    deliveries=(
        Delivery(Outcome.FULL, 0, 0, 0, SECOND_US),
        IMMEDIATE_SUCCESS,
        IMMEDIATE_SUCCESS,
        Delivery(Outcome.OK, 0, 0, 0, WINDOW_US + 1),
        Delivery(Outcome.CONNECT_FAILED, 0, 0, 0, 0),
        Delivery(Outcome.RESET, 0, WINDOW_US + 1, 0, 0),
    ),
)
RESTART_REPORTED_AFTER_THE_ORDER = Scenario(
    free_orders=6.0,
    orders_per_request=0.2,
    workers=2,
    seed=0,
    answers_prove_delivery=False,
    steps=(
        Step("leave", 0, 0, 0),
        Step("restart", 0, 0, 0),
        Step("requests", 1, 0, SECOND_US // 2),
        Step("restart", 0, 5 * SECOND_US, 0),
        Step("requests", 12, 0, 0),
    ),
    deliveries=(
        Delivery(Outcome.RESET, 0, 0, 0, 0),
        IMMEDIATE_SUCCESS,
        IMMEDIATE_SUCCESS,
        IMMEDIATE_SUCCESS,
        Delivery(Outcome.OK, 0, 3 * WINDOW_US, 0, 0),
    ),
)


@PROPERTY_SETTINGS
@given(scenarios(answers_prove_delivery=True, free_orders=WHOLE_FREE_ORDERS))
def test_arrivals_stay_within_the_limit_if_answers_prove_earlier_deliveries(scenario: Scenario) -> None:
    """The limit holds without any tolerance if each answer proves that all earlier messages have arrived."""
    assert not describe_limit_breaches(scenario)


@PROPERTY_SETTINGS
@given(scenarios(answers_prove_delivery=True, free_orders=FRACTIONAL_FREE_ORDERS))
def test_arrivals_stay_within_a_limit_with_fractional_free_orders(scenario: Scenario) -> None:
    assert not describe_limit_breaches(scenario)


@PROPERTY_SETTINGS
@given(scenarios(answers_prove_delivery=False, free_orders=WHOLE_FREE_ORDERS))
def test_arrivals_stay_within_the_limit_of_sockets_if_answers_overtake_delayed_messages(
    scenario: Scenario,
) -> None:
    """The limit holds with the tolerance for real sockets."""
    assert not describe_limit_breaches(scenario, has_tolerance=True)


@PROPERTY_SETTINGS
@given(scenarios(answers_prove_delivery=False, free_orders=WHOLE_FREE_ORDERS))
@example(ANSWER_TO_AN_EARLIER_MESSAGE)
@example(RESTART_REPORTED_AFTER_THE_ORDER)
def test_arrivals_stay_within_the_limit_if_answers_overtake_delayed_messages(scenario: Scenario) -> None:
    """The limit holds without any tolerance, also in the two scenarios given as examples.

    In one, a worker answers a message that was sent before an order that has not arrived yet. In the other,
    the worker list reports a restart after an order was sent to the new process.
    """
    assert not describe_limit_breaches(scenario)


# --- Previous implementations, which the properties must reject --------------------------------------------


class LimitByDecisionTime(LoadOrderLimit):
    """Counts each order from its decision, for one window and the grace period, whatever its outcome."""

    def __init__(self, router_settings: api.Settings, grace_us: int) -> None:
        super().__init__(router_settings)
        self._grace_us = grace_us
        self._decided_us: deque[int] = deque()

    def begin(self, now_us: int) -> None:
        pass

    def reserve(self, now_us: int, budget_fraction: float) -> bool:
        since_us = now_us - self._guards.load_order_window_us
        self._forget_before(since_us)
        while self._decided_us and self._decided_us[0] <= since_us - self._grace_us:
            self._decided_us.popleft()
        requests = len(self.request_arrivals_us)
        allowed = budget_fraction * (
            self._guards.free_load_orders + self._guards.load_orders_per_request * requests
        )
        if len(self._decided_us) + 1 > allowed:
            return False
        self._decided_us.append(now_us)
        return True

    def settle(self, latest_arrival_us: int, orders: int = 1) -> None:
        pass


class LimitByReadTime(LoadOrderLimit):
    """Counts requests when they are read, without proof that they are genuine."""

    def count_request(self, earliest_arrival_us: int) -> None:
        pass

    def count_read_request(self, now_us: int) -> None:
        super().count_request(now_us)

    def remove_newest_request(self) -> None:
        del self.request_arrivals_us[-1:]


class FaultyLimit(LimitByReadTime, LimitByDecisionTime):
    """Counts orders from their decision and requests when they are read."""


class RouterCountingOrdersByDecision(Router):
    def __init__(self, router_settings: api.Settings, seed: int) -> None:
        super().__init__(router_settings, seed)
        self.load_orders.limit = LimitByDecisionTime(router_settings, self.context.probe_timeout_us)

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        grace_us = self.context.probe_timeout_us
        return [
            replace(action, begin_within_us=grace_us)
            if isinstance(action, api.LoadOrder) and action.copies
            else action
            for action in super().handle(now, event)
        ]


class RouterCountingRequestsAsRead(Router):
    """Counts each request when it is read; a cancelled request removes the newest one."""

    def __init__(self, router_settings: api.Settings, seed: int) -> None:
        super().__init__(router_settings, seed)
        self.load_orders.limit = LimitByReadTime(router_settings)

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        limit = self.load_orders.limit
        assert isinstance(limit, LimitByReadTime)
        if isinstance(event, api.RequestArrived):
            limit.count_read_request(now)
        if isinstance(event, api.RequestCancelled) and event.request in self.requests.by_id:
            limit.remove_newest_request()
        return super().handle(now, event)


class FaultyRouter(RouterCountingRequestsAsRead, RouterCountingOrdersByDecision):
    def __init__(self, router_settings: api.Settings, seed: int) -> None:
        super().__init__(router_settings, seed)
        self.load_orders.limit = FaultyLimit(router_settings, self.context.probe_timeout_us)


@pytest.mark.parametrize(
    ("router_type", "has_tolerance"),
    [
        (FaultyRouter, False),
        (FaultyRouter, True),
        (RouterCountingOrdersByDecision, True),
        (RouterCountingRequestsAsRead, False),
    ],
)
def test_the_properties_detect_a_faulty_limit(router_type: type[Router], has_tolerance: bool) -> None:
    scenario = find(
        scenarios(answers_prove_delivery=True, free_orders=WHOLE_FREE_ORDERS),
        lambda scenario: bool(describe_limit_breaches(scenario, router_type, has_tolerance)),
        settings=settings(PROPERTY_SETTINGS, max_examples=2_000),
    )
    assert describe_limit_breaches(scenario, router_type, has_tolerance)
    assert not describe_limit_breaches(scenario)


def test_generated_scenarios_include_many_orders_and_counted_requests() -> None:
    def has_many_orders_and_requests(scenario: Scenario) -> bool:
        log = simulate(scenario)
        return len(log.orders.get(FRONT_END, ())) >= 15 and len(log.requests.get(FRONT_END, ())) >= 15

    assert has_many_orders_and_requests(
        find(
            scenarios(answers_prove_delivery=True, free_orders=WHOLE_FREE_ORDERS),
            has_many_orders_and_requests,
            settings=PROPERTY_SETTINGS,
        )
    )
