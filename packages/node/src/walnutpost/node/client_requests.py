"""The requests of one client connection: handles each message, and answers each request once."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from walnutpost.gateway import CallArrived, Failed, FinalAnswer, Function, Rejected, Served
from walnutpost.node import rpc
from walnutpost.node.client_context import MAX_OPEN_REQUESTS, ClientContext
from walnutpost.node.client_input import MAX_QUEUED_MESSAGES, ClientInput
from walnutpost.node.client_output import ClientOutput
from walnutpost.node.memory_budget import MemoryShare
from walnutpost.node.open_requests import RequestIdentity

FIRST_MESSAGE_ID = 1  # message id of a connection's first request; the ids increase from there
# Requests on one connection that were cancelled before they were processed.
MAX_CANCELLED_AHEAD = MAX_QUEUED_MESSAGES
MAX_MESSAGES_PER_TURN = 2 * MAX_OPEN_REQUESTS
MAX_TURN_US = 1_000  # processor time, after which a connection waits for another turn
MAX_LOGGED_INVALID = 20  # logged invalid requests, on all connections together
REQUEST_OVERHEAD_BYTES = 8_000  # memory of an open request and its attempts, without the body
NO_MESSAGE_ID = -1
NOT_PROCESSED_REASON = "not processed: a message before it ended this connection"


class ClientRequests:
    """Handles the messages of one connection in order, and writes the answers."""

    def __init__(
        self,
        context: ClientContext,
        incoming: ClientInput,
        output: ClientOutput,
        read_ahead: Callable[[], None],
        arrived_after_us: int,
    ) -> None:
        """`read_ahead` reads unread bytes early and prevents attempts for requests that they cancel."""
        self._context = context
        self._loop = context.loop
        self._input = incoming
        self._output = output
        self._memory = MemoryShare(context.request_memory)
        self._read_ahead = read_ahead
        self._arrived_after_us = arrived_after_us  # of the message that is being handled
        self._last_message_id = NO_MESSAGE_ID
        self._cancelled_ahead: dict[int, None] = {}  # message ids of requests that were not processed yet
        self.open: dict[int, int] = {}  # caller ids by message id
        self._open_bytes: dict[int, int] = {}  # memory of the open requests by message id
        self.rejected = 0  # messages that were rejected, invalid or already cancelled
        self.has_valid_message = False  # whether a valid protocol message has arrived
        self.last_used_us = self._loop.now()  # when the last message was handled

    def record_received(self, messages: Iterable[rpc.Incoming]) -> None:
        """Record which requests these messages cancel, before any of them is processed."""
        for message in messages:
            if isinstance(message, rpc.Interrupt):
                self._record_cancelled(message)

    def process_some(self) -> None:
        """Process queued messages in order, up to the limits of one turn.

        If the connection stops reading because of a message, the requests after it get an error.
        """
        end_us = self._loop.processor_time() + MAX_TURN_US
        for _ in range(min(len(self._input.queue), MAX_MESSAGES_PER_TURN)):
            queued = self._input.next_message()
            self._arrived_after_us = queued.arrived_after_us
            try:
                self._handle_guarded(queued.message)
            except Exception:
                self.fail_queued(NOT_PROCESSED_REASON)
                raise
            if self._input.is_discarding or self._input.is_closed or self._loop.processor_time() >= end_us:
                return

    def stop_reading(self, reason: str) -> None:
        """Send an error with this reason to each queued request, and discard all further input."""
        self.fail_queued(reason)
        self._input.discard()

    def prevent_attempts(self, message_ids: Iterable[int]) -> None:
        """Prevent further attempts for these requests. The gateway is told later, when they are cancelled."""
        for message_id in message_ids:
            if message_id in self.open:
                self._context.requests.prevent_attempts(self.open[message_id])

    def cancel_all(self) -> None:
        """Cancel all open requests without an answer; only for a client that can't read one any more."""
        for message_id in list(self.open):
            self._cancel(message_id)

    def answer_all(self) -> None:
        """Cancel all open requests, and send an answer to each.

        A rejection tells the client that a retry is harmless, so only requests without an attempt are
        rejected. The others get an internal error.
        """
        for message_id, caller_id in list(self.open.items()):
            was_attempted = self._context.requests.was_attempted(caller_id)
            self._cancel(message_id)
            if was_attempted:
                self._output.write(rpc.encode_internal_error(message_id))
            else:
                self._output.write(rpc.encode_overloaded(message_id))

    def _record_cancelled(self, cancellation: rpc.Interrupt) -> None:
        for message_id in cancellation.message_ids:
            if message_id > self._last_message_id:
                self._cancelled_ahead[message_id] = None
                if len(self._cancelled_ahead) > MAX_CANCELLED_AHEAD:
                    del self._cancelled_ahead[next(iter(self._cancelled_ahead))]

    def fail_queued(self, reason: str) -> None:
        """Remove all queued messages, and send an error with this reason to each request among them."""
        while self._input.queue:
            message = self._input.next_message().message
            if isinstance(message, rpc.Interrupt) or message.message_id <= self._last_message_id:
                continue
            self._last_message_id = message.message_id
            if message.message_id not in self._cancelled_ahead:
                self._output.write(rpc.encode_internal_error(message.message_id, reason))

    def _handle_guarded(self, message: rpc.Incoming) -> None:
        """Handle one message; an unexpected error only fails its request, which still gets an answer."""
        self.last_used_us = self._loop.now()
        if self._loop.run_guarded("request", partial(self._handle, message)):
            return
        if not isinstance(message, rpc.Interrupt):  # handlers write the answer last, so none was written
            self._cancel(message.message_id)
            self._output.write(rpc.encode_internal_error(message.message_id))

    def _handle(self, message: rpc.Incoming) -> None:
        match message:
            case rpc.CallRequest():
                self._call(message)
            case rpc.Interrupt(message_ids):
                self._interrupt(message_ids)
            case rpc.CheckRequest(message_id):
                self._check(message_id)
            case rpc.InvalidRequest(message_id, reason):
                self._reject_invalid(message_id, reason)

    def _interrupt(self, message_ids: Iterable[int]) -> None:
        self.has_valid_message = True
        for message_id in message_ids:
            self._cancel(message_id)

    def _check(self, message_id: int) -> None:
        self.has_valid_message = True
        self.rejected += self._output.is_above_high_water
        is_ready = not self._context.is_shutting_down
        self._output.write(rpc.encode_check_result(message_id, is_ready))

    def _call(self, call: rpc.CallRequest) -> None:
        if call.message_id <= self._last_message_id:
            self._context.invalid_requests += 1
            self._reject_reused_id(call.message_id)
        elif call.message_id in self._cancelled_ahead:
            self._skip_cancelled(call.message_id)
        elif reason := self._invalid_reason(call):
            self._reject_invalid(call.message_id, reason)
        else:
            self._last_message_id = call.message_id
            self._open_or_reject(call)

    def _invalid_reason(self, call: rpc.CallRequest) -> str:
        """Return why the call can't be a request of this connection, or an empty string if it can."""
        is_first = self._last_message_id == NO_MESSAGE_ID and not self.has_valid_message
        if is_first and call.message_id > FIRST_MESSAGE_ID:  # a copy of a request from another connection
            return f"message id: found {call.message_id}, wanted {FIRST_MESSAGE_ID} first"
        if call.request_id.encode() in self._context.requests.request_ids:
            return "rid: this request is open already"
        if self._context.requests.was_attempted_before(call.request_id.encode()):
            self._context.repeated_ids += 1
            return f"rid: found {call.request_id}, which an earlier request had"
        return ""

    def _open_or_reject(self, call: rpc.CallRequest) -> None:
        exceeds_own_limits = self._exceeds_own_limits()
        lacks_memory = not self._may_open(REQUEST_OVERHEAD_BYTES + len(call.body))
        if exceeds_own_limits or lacks_memory or self._input.has_ended:
            self.rejected += exceeds_own_limits  # a client isn't slowed down for what others do
            self._context.rejected_for_memory += lacks_memory
            self._output.write(rpc.encode_overloaded(call.message_id))
        else:
            self.has_valid_message = True
            self._open(call)

    def _exceeds_own_limits(self) -> bool:
        """Return whether this connection currently accepts no more requests."""
        is_full = len(self.open) >= MAX_OPEN_REQUESTS
        return is_full or self._output.is_above_high_water or self._context.is_draining

    def _may_open(self, request_bytes: int) -> bool:
        """Return whether the node may open another request, which takes so much memory."""
        return self._memory.may_grow(request_bytes) and self._context.may_open_request

    def _skip_cancelled(self, message_id: int) -> None:
        """Ignore a request that was cancelled before it arrived; nobody waits for an answer."""
        del self._cancelled_ahead[message_id]
        self._last_message_id = message_id
        self.rejected += 1

    def _reject_invalid(self, message_id: int, reason: str) -> None:
        self.rejected += 1
        self._context.invalid_requests += 1
        if self._context.invalid_requests <= MAX_LOGGED_INVALID:
            self._context.log.warning("request_invalid", reason=reason)
        self._last_message_id = max(self._last_message_id, message_id)
        if message_id in self.open:
            self._reject_reused_id(message_id)
        else:
            self._output.write(rpc.encode_internal_error(message_id, reason))

    def _reject_reused_id(self, message_id: int) -> None:
        """Stop reading this connection, because a second request has arrived with a used message id.

        If the first request is still open, it gets an error immediately: closing the connection would lose
        it, and the client could mistake its regular answer for the answer to the second request. No message
        id gets two answers. The connection closes after all open requests have been answered.
        """
        if message_id in self.open:
            self._cancel(message_id)
            reason = "message id: used by two requests"
            self._output.write(rpc.encode_internal_error(message_id, reason))
        self.stop_reading(NOT_PROCESSED_REASON)

    def _cancel(self, message_id: int) -> None:
        caller_id = self._remove(message_id)
        if caller_id is not None:
            self._context.requests.remove(caller_id)
            self._loop.run_guarded("cancel", partial(self._context.dispatcher.abandon, caller_id))

    def _remove(self, message_id: int) -> int | None:
        """Remove an open request; return its caller id, or None if it is not open."""
        self._memory.change(-self._open_bytes.pop(message_id, 0))
        return self.open.pop(message_id, None)

    def _open(self, call: rpc.CallRequest) -> None:
        dispatcher = self._context.dispatcher
        caller_id = dispatcher.new_caller_id()
        self.open[call.message_id] = caller_id
        self._open_bytes[call.message_id] = REQUEST_OVERHEAD_BYTES + len(call.body)
        self._memory.change(self._open_bytes[call.message_id])
        identity = RequestIdentity(call.request_id.encode(), call.request_class, call.idempotency_key)
        self._context.requests.add(caller_id, identity, self._read_ahead)
        dispatcher.submit(self._arrival(call, caller_id), partial(self._answer, call.message_id, caller_id))

    def _arrival(self, call: rpc.CallRequest, caller_id: int) -> CallArrived:
        """Return the gateway's input for a call.

        The budget counts from the earliest time at which the client can have written the last byte of the
        call.
        """
        function = Function(
            call.function,
            self._context.class_indices[call.request_class],
            call.memory_mb,
            call.concurrency,
            call.load_time_us,
            call.cost_us,
        )
        waited_us = max(0, self._loop.now() - self._arrived_after_us)
        return CallArrived(
            caller_id,
            call.function,
            call.body,
            max(0, call.budget_us - waited_us),
            call.tenant,
            "",
            call.is_retry,
            definition=function,
            waited_us=waited_us,
        )

    def _answer(self, message_id: int, caller_id: int, final: FinalAnswer) -> None:
        self._context.requests.remove(caller_id)
        if self._remove(message_id) is None:
            return
        match final:
            case Served(payload) if not self._output.has_capacity(len(payload)):
                reason = "too many answers are not fetched"
                self._output.write(rpc.encode_internal_error(message_id, reason))
            case Served(payload):
                self._output.write(rpc.encode_result(message_id, payload))
            case Rejected(_, retry_after_us):
                self._output.write(rpc.encode_overloaded(message_id, retry_after_us))
            case Failed():
                self._output.write(rpc.encode_internal_error(message_id))
