"""The requests of one client connection: each message is acted on, and each request gets one answer."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from walnutpost.gateway import CallArrived, Failed, Final, Function, Rejected, Served
from walnutpost.node import rpc
from walnutpost.node.client_context import OPEN_MOST, ClientContext
from walnutpost.node.client_input import Batch, ClientInput
from walnutpost.node.client_output import ClientOutput

FIRST_NUMBER = 1  # of a connection's requests: ids go up from there
CANCELLED_AHEAD_MOST = 64  # requests cancelled before they came
BAD_LOGGED_MOST = 20  # bad requests that are logged, of all connections


class ClientRequests:
    """Takes the messages of one connection in order, and writes the answers."""

    def __init__(
        self,
        context: ClientContext,
        incoming: ClientInput,
        output: ClientOutput,
        read_ahead: Callable[[], None],
        came_after_us: int,
    ) -> None:
        """`read_ahead` looks for unread bytes that cancel a request."""
        self._context = context
        self._loop = context.loop
        self._input = incoming
        self._output = output
        self._read_ahead = read_ahead
        self._came_after_us = came_after_us  # of the message that is being taken
        self._last_number = -1
        self._cancelled_ahead: set[int] = set()  # numbers of requests that have not come yet
        self.open: dict[int, int] = {}  # message id -> ticket
        self.rejected = 0  # messages that were of no use
        self.known = False  # a message of the protocol has come
        self.used_us = self._loop.now()  # when the last message was taken

    def take(self, batches: list[Batch]) -> None:
        """Acts on what came, until one of the messages ends the reading; those behind it get an error."""
        messages = [(batch.came_after_us, message) for batch in batches for message in batch.messages]
        for _, message in messages:
            self._note_cancelled(message)
        for position, (self._came_after_us, message) in enumerate(messages):
            try:
                self._take(message)
            except Exception:
                self._fail_unseen([unseen for _, unseen in messages[position + 1 :]])
                raise
            if self._input.discarding or self._input.closed:
                self._fail_unseen([unseen for _, unseen in messages[position + 1 :]])
                return

    def withdraw(self, numbers: Iterable[int]) -> None:
        """No attempt of these begins from now on. The gateway is told when they are left."""
        for number in numbers:
            if number in self.open:
                self._context.requests.withdraw(self.open[number])

    def leave_all(self) -> None:
        """Ends what is open, with no answer: only for a client that can't fetch one any more."""
        for number in list(self.open):
            self._leave(number)

    def answer_all(self) -> None:
        """Ends what is open, with an answer each. Refused, so that trying again is harmless, is only what no
        attempt was started for."""
        for number, ticket in list(self.open.items()):
            attempted = self._context.requests.attempted(ticket)
            self._leave(number)
            self._output.write(rpc.failed(number) if attempted else rpc.refused(number))

    def _note_cancelled(self, message: rpc.Incoming) -> None:
        if isinstance(message, rpc.Interrupt):
            numbers = (*self._cancelled_ahead, *message.numbers)
            ahead = [number for number in numbers if number > self._last_number]
            self._cancelled_ahead = set(ahead[-CANCELLED_AHEAD_MOST:])

    def _fail_unseen(self, messages: list[rpc.Incoming]) -> None:
        """Answers what was read behind a message that ended the reading."""
        for message in messages:
            if isinstance(message, rpc.Interrupt) or message.number <= self._last_number:
                continue
            self._last_number = message.number
            if message.number not in self._cancelled_ahead:
                reason = "not looked at: a message before it ended this"
                self._output.write(rpc.failed(message.number, reason))

    def _take(self, message: rpc.Incoming) -> None:
        """An error that nobody expected costs the request that it came with, which gets an answer."""
        self.used_us = self._loop.now()
        if self._loop.guarded("request", partial(self._act_on, message)):
            return
        if not isinstance(message, rpc.Interrupt):  # an answer is written last: none has been
            self._leave(message.number)
            self._output.write(rpc.failed(message.number))

    def _act_on(self, message: rpc.Incoming) -> None:
        match message:
            case rpc.Call():
                self._call(message)
            case rpc.Interrupt(numbers):
                self._interrupt(numbers)
            case rpc.Check(number):
                self._check(number)
            case rpc.Bad(number, reason):
                self._reject(number, reason)

    def _interrupt(self, numbers: Iterable[int]) -> None:
        self.known = True
        for number in numbers:
            self._leave(number)

    def _check(self, number: int) -> None:
        self.known = True
        self.rejected += self._output.above_high_water
        self._output.write(rpc.checked(number, not self._context.draining))

    def _call(self, call: rpc.Call) -> None:
        if call.number <= self._last_number:
            self._context.bad += 1
            self._reject_reused(call.number)
        elif call.number in self._cancelled_ahead:
            self._skip_cancelled(call.number)
        elif reason := self._unusable(call):
            self._reject(call.number, reason)
        else:
            self._last_number = call.number
            self._open_or_refuse(call)

    def _unusable(self, call: rpc.Call) -> str:
        """Why it can't be a request of this connection; empty if it can."""
        first = self._last_number < 0 and not self.known
        if first and call.number > FIRST_NUMBER:  # copied from another connection's request
            return f"message id: found {call.number}, wanted {FIRST_NUMBER} first"
        if call.rid.encode() in self._context.requests.request_ids:
            return "rid: this request is open already"
        return ""

    def _open_or_refuse(self, call: rpc.Call) -> None:
        overloaded = self._overloaded()
        if overloaded or self._input.ended:
            self.rejected += overloaded
            self._output.write(rpc.refused(call.number))
        else:
            self.known = True
            self._open(call)

    def _overloaded(self) -> bool:
        """Whether no more requests are taken on this connection now."""
        crowded = len(self.open) >= OPEN_MOST
        return crowded or self._output.above_high_water or self._context.ending

    def _skip_cancelled(self, number: int) -> None:
        """Nobody waits for an answer any more."""
        self._cancelled_ahead.discard(number)
        self._last_number = number
        self.rejected += 1

    def _reject(self, number: int, reason: str) -> None:
        self.rejected += 1
        self._context.bad += 1
        if self._context.bad <= BAD_LOGGED_MOST:
            self._context.log.info("unusable request", why=reason)
        self._last_number = max(self._last_number, number)
        if number in self.open:
            self._reject_reused(number)
        else:
            self._output.write(rpc.failed(number, reason))

    def _reject_reused(self, number: int) -> None:
        """A second request came under a number that had one. Where the first is open, it gets an error at
        once: closing on it would lose it, and its own answer could be taken for the second's. There is no
        second answer under one number. Nothing more is read, and the connection ends once all that is open
        has its answer."""
        if number in self.open:
            self._leave(number)
            self._output.write(rpc.failed(number, "message id: used by two requests"))
        self._input.discard()

    def _leave(self, number: int) -> None:
        ticket = self.open.pop(number, None)
        if ticket is not None:
            self._context.requests.remove(ticket)
            self._loop.guarded("leave", partial(self._context.core.leave, ticket))

    def _open(self, call: rpc.Call) -> None:
        core = self._context.core
        ticket = core.ticket()
        self.open[call.number] = ticket
        identity = (call.rid.encode(), call.cls, call.repeat_key)
        self._context.requests.add(ticket, identity, self._read_ahead)
        core.arrive(self._arrival(call, ticket), partial(self._answered, call.number, ticket))

    def _arrival(self, call: rpc.Call, ticket: int) -> CallArrived:
        """Its time counts from when its client wrote the last byte, taken as early as that can have been."""
        function = Function(
            call.function,
            self._context.class_indices[call.cls],
            call.memory_mb,
            call.lanes,
            call.load_time,
            call.cost,
        )
        waited_us = max(0, self._loop.now() - self._came_after_us)
        return CallArrived(
            ticket,
            call.function,
            call.body,
            max(0, call.budget - waited_us),
            call.tenant,
            "",
            call.again,
            definition=function,
            waited_us=waited_us,
        )

    def _answered(self, number: int, ticket: int, final: Final) -> None:
        self._context.requests.remove(ticket)
        if self.open.pop(number, None) is None:
            return
        match final:
            case Served(payload) if not self._output.has_room(len(payload)):
                self._output.write(rpc.failed(number, "too many answers are not fetched"))
            case Served(payload):
                self._output.write(rpc.served(number, payload))
            case Rejected(_, retry_after):
                self._output.write(rpc.refused(number, retry_after))
            case Failed():
                self._output.write(rpc.failed(number))
