"""Clients in one process, for a case with much traffic. Arguments: port, requests a second, seconds, functions,
milliseconds until a client gives up, connections, a file. Prints one line of JSON: what became of the requests. Appends a
line for each request to the file: id, class, function, when it was sent and answered (seconds), and the answer.

Requests go round the connections; none has more than 32 open. The time of a request counts from its last byte, and an
answer is late if it comes over half a second, and the 50 ms of the page, after the request's time.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import Counter

import msgpack

MAX_OPEN = 32
LATE_S, SLACK_S = 0.5, 0.05
TAIL_S = 6.0  # after the last request's time
FIRST_FUNCTION = 0x1000


class Connection:
    """One connection, with its open requests by message id."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.last_id = 0
        self.open: dict[int, tuple[float, str]] = {}  # when it was sent, and its line


async def main() -> None:
    """Send the requests, wait for their answers, and print the result."""
    port, rate, span_s, functions, budget_ms, connection_count = (int(each) for each in sys.argv[1:7])
    chance = random.Random(1)
    weights = [1 / (rank + 3) for rank in range(functions)]
    kinds: Counter[str] = Counter()
    late_s: list[float] = []
    lines: list[str] = []
    twice = 0

    async def read(connection: Connection, reader: asyncio.StreamReader) -> None:
        nonlocal twice
        unpacker = msgpack.Unpacker()
        while data := await reader.read(65536):
            now = time.time()
            unpacker.feed(data)
            for _, number, error, _ in unpacker:
                request = connection.open.pop(number, None)
                if request is None:
                    twice += 1
                    continue
                sent_at, line = request
                kind = "served" if error is None else error[0]
                kinds[kind] += 1
                lines.append(f"{line} answered {now - began_at:.3f} {kind}")
                over_s = now - sent_at - budget_ms / 1000
                if over_s > LATE_S + SLACK_S:
                    late_s.append(over_s)

    connections, readers = [], []
    for _ in range(connection_count):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        connections.append(Connection(writer))
        readers.append(asyncio.create_task(read(connections[-1], reader)))
    began_at = time.time()
    skipped = 0
    for number in range(rate * span_s):
        delay_s = began_at + number / rate - time.time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        connection = connections[number % connection_count]
        if len(connection.open) >= MAX_OPEN or connection.writer.is_closing():
            skipped += 1
            continue
        connection.last_id += 1
        function = FIRST_FUNCTION + chance.choices(range(functions), weights)[0]
        fields = {
            "rid": f"{number + 1:016x}", "budget": str(budget_ms), "obj": f"{function:016x}",
            "attrs": "memory_mb:250;lanes:2",
        }
        request_class = "reservation" if number % 20 < 7 else "valuation"
        message = [0, connection.last_id, request_class, [fields, b"isbn " * 20]]
        connection.writer.write(msgpack.packb(message))
        sent_at = time.time()
        line = f"{fields['rid']} {request_class} {fields['obj']} sent {sent_at - began_at:.3f}"
        connection.open[connection.last_id] = sent_at, line
    await asyncio.sleep(budget_ms / 1000 + TAIL_S)
    lines += [line for each in connections for _, line in each.open.values()]
    with open(sys.argv[7], "a") as record:
        record.write("\n".join(lines) + "\n")
    result = {
        "answers": dict(kinds), "late": len(late_s), "latest_s": round(max(late_s, default=0.0), 2),
        "never": sum(len(each.open) for each in connections), "twice": twice, "not_sent": skipped,
    }
    print(json.dumps(result), flush=True)


asyncio.run(main())
