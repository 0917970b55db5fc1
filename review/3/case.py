"""A planned stop while callers read their answers slowly."""

import concurrent.futures
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from world import *  # noqa: E402,F403

SERVICE = "gauge-api"
HOST, PATH, KEY = "jepu9.example", "/fiti832/", "ctnfzs989anu6wsjnban"

#: An answer is lost if all but a last piece of it is in the kernel while its caller rests. How much that holds differs
#: between machines and times, so the answers have many sizes; each caller rests once, after the first part of its answer.
#: For each gateway that is stopped: callers, bytes of the smallest answer, step to the next one, bytes before the rest.
STOPS = [(110, 100_000, 2_500, 20_000), (110, 100_000, 2_500, 40_000), (48, 350_000, 5_500, 20_000)]
REST_SECONDS = 1.9
DEADLINE_MS = 8_000
#: When the requests are sent, after the SIGTERM if there is one. New requests are served for 2.6 s after it.
SEND_AFTER_SECONDS = 0.3

runs = {}


async def behave(replica, request, writer):
    """Runs a request; one with a size in its path gets an answer of that size."""
    runs[request.id] = runs.get(request.id, 0) + 1
    replica.world.record.note(f"run of {request.id} at {replica.id}")
    await asyncio.sleep(0.03)
    size = int(request.target.rsplit("/", 1)[1])
    writer.write(answer_bytes(200, replica.answer_headers(request), b"x" * size))
    await writer.drain()
    replica.world.record.note(f"whole answer to {request.id} handed to the gateway by {replica.id}")


class Caller:
    """A client with a kept connection, at the segment size and window of a small machine on an ordinary network."""

    def __init__(self, gateway, size, rest_at):
        self.gateway = gateway
        self.rest_at = rest_at
        self.size = size
        self.answer = Answer()
        self.id = new_id()

    def connect(self):
        """Opens the connection, with a first small request on it."""
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1_460)
        self.socket.settimeout(DEADLINE_MS / 1000 + 2)
        self.socket.connect(self.gateway.callers)
        first = Answer()
        self.exchange(new_id(), 800, first, None)
        if not first.is_complete:
            raise CaseError(f"the first request got {first}")

    def exchange(self, identity, size, answer, rest_at):
        """Sends a request and reads its answer, with a rest after so many bytes."""
        received, length = b"", None
        try:
            self.socket.sendall(request_bytes("POST", HOST, f"{PATH}{size}", identity, DEADLINE_MS, KEY, body=b"b" * 600))
            while length is None or len(received) < length:
                piece = self.socket.recv(4_096)
                if not piece:
                    answer.end = f"closed after {len(received)} of {length} bytes"
                    return
                received += piece
                if length is None and b"\r\n\r\n" in received:
                    text, _, _ = received.partition(b"\r\n\r\n")
                    answer.status = int(text.split(b" ")[1])
                    sizes = [line for line in text.lower().split(b"\r\n") if line.startswith(b"content-length:")]
                    length = len(text) + 4 + int(sizes[0].split(b":")[1])
                if rest_at is not None and len(received) >= rest_at:
                    rest_at = None
                    time.sleep(REST_SECONDS)
            answer.is_complete, answer.end = True, "whole"
        except OSError as error:
            answer.end = f"{type(error).__name__} after {len(received)} of {length} bytes"

    def run(self, record):
        record.note(f"request {self.id} for {self.size} bytes sent to {self.gateway.name}, rests after {self.rest_at} bytes")
        sent_at = record.now()
        self.exchange(self.id, self.size, self.answer, self.rest_at)
        record.note(f"answer to {self.id} after {record.now() - sent_at:.2f} s: status={self.answer.status} "
                    f"{self.answer.end}, runs={runs.get(self.id, 0)}")
        self.socket.close()


async def stop_and_ask(world, gateway, count, smallest, step, rest_at):
    """Stops a gateway, asks it for answers while it still serves, and starts it again; returns the callers."""
    callers = [Caller(gateway, smallest + number * step, rest_at) for number in range(count)]
    loop, threads = asyncio.get_running_loop(), concurrent.futures.ThreadPoolExecutor(count)
    await asyncio.gather(*[loop.run_in_executor(threads, caller.connect) for caller in callers])
    if TROUBLE:
        gateway.signal(signal.SIGTERM)
    await asyncio.sleep(SEND_AFTER_SECONDS)
    await asyncio.gather(*[loop.run_in_executor(threads, caller.run, world.record) for caller in callers])
    if TROUBLE:
        world.record.note(f"{gateway.name} ended with {await gateway.ended(world.bounds['graceS'])}")
        gateway.start()
        await gateway.until_ready()
    return callers


async def case(world):
    await world.start(gateways=3)
    for _ in range(3):
        await world.add_replica(SERVICE, behave)
    route = {"name": "r-1", "host": HOST, "pathPrefix": PATH, "kind": "unsafe", "timeoutMs": DEADLINE_MS,
             "targetLatencyMs": 300, "priority": 2, "service": SERVICE, "maxAttempts": 1, "public": False,
             "sticky": False, "resumable": False}
    service = {"name": SERVICE, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": False}
    world.put_configuration([route], [service], [{"name": "t-1", "apiKeys": [KEY], "priority": 1, "isolated": False}])
    await world.start_gateways()
    await asyncio.sleep(world.bounds["contactMs"] / 1000 + 1)

    callers = []
    for gateway, (count, smallest, step, rest_at) in zip(world.gateways, STOPS):
        callers += await stop_and_ask(world, gateway, count, smallest, step, rest_at)

    # LOST: the request was passed on to a replica, which answered whole, and the caller's connection ended without the
    # whole answer, before the deadline. Refusals are answers.
    lost = [caller for caller in callers if not caller.answer.is_complete and runs.get(caller.id, 0) > 0]
    served = [caller for caller in callers if caller.answer.is_complete and caller.answer.status == 200]
    world.record.note(f"LOST: {len(lost)} of {len(callers)} requests, {len(served)} were served")
    print(f"{len(lost)} of {len(callers)} requests lost, {len(served)} served")
    if not lost and len(served) < len(callers) // 2:
        raise CaseError("too few requests were served")
    return bool(lost)


main(FOLDER, case)
