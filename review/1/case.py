"""All gateways are killed at once while the last replicas of a software version leave."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

from world import *  # noqa: E402,F403

SERVICE = "verdict-llm"
HOST, PATH, KEY = "jepu9.example", "/lepu270/", "ctnfzs989anu6wsjnban"
DEADLINE_MS = 15_000
EVENTS = 26
EVENT_SECONDS = 0.4
STREAMS = 9
#: How long the gateways are down: the platform starts an ended process again after a short delay.
DOWN_SECONDS = 0.5
#: How often a client takes its stream up again.
TRIES = 4


async def behave(replica, request, writer):
    """A stream of events with rising ids; it goes on after `Last-Event-Id`. Each event tells the version that made it."""
    after = int(request.head.get("last-event-id", "0"))
    replica.world.record.note(f"run of {request.id} at {replica.id} ({replica.software}) after event {after}")
    headers = replica.answer_headers(request) + [("Content-Type", "text/event-stream")]
    lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers] + ["Transfer-Encoding: chunked"]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    for number in range(after + 1, EVENTS + 1):
        event = f"id: {number}\ndata: {replica.software}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")


def events_of(body):
    """The ids and versions of the whole events in a body."""
    events = []
    for event in body.decode().split("\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        events.append((int(fields["id"]), fields["data"]))
    return events


class Client:
    """Asks for a stream, and takes it up at another gateway when it breaks off."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.events = []
        self.first = new_id()

    async def attempt(self, identity, headers):
        gateway = self.world.gateways[self.number % len(self.world.gateways)]
        self.number += 1
        answer = Answer()
        try:
            reader, writer = await asyncio.open_connection(*gateway.callers)
        except OSError:
            return answer
        self.world.record.note(f"request {identity} sent to {gateway.name}, {headers}")
        writer.write(request_bytes("POST", HOST, PATH + "2f", identity, DEADLINE_MS, KEY, headers, b"b" * 1_000))
        await asyncio.wait_for(read_answer(reader, answer), DEADLINE_MS / 1000 + 2)
        writer.close()
        if answer.status == 200:
            self.events += events_of(answer.body)
        self.world.record.note(f"answer to {identity}: {answer}")
        return answer

    async def run(self, gateways_are_back):
        answer = await self.attempt(self.first, [])
        for _ in range(TRIES):
            if answer.is_complete and answer.status == 200:
                return
            await gateways_are_back.wait()
            last = self.events[-1][0] if self.events else 0
            headers = [("Last-Event-Id", str(last)), ("Resumes", self.first)] if last else []
            answer = await self.attempt(new_id(), headers)
            await asyncio.sleep(0.3)


async def case(world):
    await world.start(gateways=3)
    old = [await world.add_replica(SERVICE, behave, software="v1") for _ in range(2)]
    route = {"name": "r-1", "host": HOST, "pathPrefix": PATH, "kind": "streaming", "timeoutMs": DEADLINE_MS,
             "targetLatencyMs": 800, "priority": 1, "service": SERVICE, "maxAttempts": 2, "public": False,
             "sticky": False, "resumable": True, "gapTargetMs": 500}
    service = {"name": SERVICE, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": False}
    world.put_configuration([route], [service], [{"name": "t-1", "apiKeys": [KEY], "priority": 1, "isolated": False}])
    await world.start_gateways()
    await asyncio.sleep(world.bounds["contactMs"] / 1000 + 1)

    gateways_are_back = asyncio.Event()
    clients = [Client(world, number) for number in range(STREAMS)]
    running = [asyncio.create_task(client.run(gateways_are_back)) for client in clients]
    await asyncio.sleep(0.8)

    # A release: the new replicas start first, then the old ones leave, serve on for `drainMs` and a little longer, and end.
    for _ in range(2):
        await world.add_replica(SERVICE, behave, software="v1.1")
    await asyncio.sleep(1)
    for replica in old:
        replica.drain()
    await asyncio.sleep(world.bounds["drainMs"] / 1000 + 0.5)
    if TROUBLE:
        for gateway in world.gateways:
            gateway.signal(signal.SIGKILL)
    for replica in old:
        replica.end()
    await asyncio.sleep(DOWN_SECONDS)
    if TROUBLE:
        for gateway in world.gateways:
            gateway.process.wait()
            gateway.start()
        for gateway in world.gateways:
            await gateway.until_ready()
    gateways_are_back.set()
    await asyncio.gather(*running)

    # ORDER: more than two streams hold events from replicas of two software versions of one service.
    mixed = 0
    for client in clients:
        versions = {version for _, version in client.events}
        if len(versions) > 1:
            mixed += 1
            world.record.note(f"ORDER: the stream that began as {client.first} holds {client.events}")
    print(f"{mixed} of {STREAMS} streams hold events of two versions")
    if not any(client.events for client in clients):
        raise CaseError("no stream began")
    return mixed > 2


main(FOLDER, case)
