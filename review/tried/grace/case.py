"""The platform raises `graceS` in the settings file, sends SIGHUP, and stops the process later."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standins"))

from world import *  # noqa: E402,F403

SERVICE = "verdict-llm"
HOST, PATH, KEY = "jepu9.example", "/lepu270/", "ctnfzs989anu6wsjnban"
#: As for `operator-note` (SYSTEM.md): 15 s for an answer, pauses of 500 ms at most.
DEADLINE_MS = 15_000
EVENTS = 28
EVENT_SECONDS = 0.4
REQUESTS = 8
NEW_GRACE_SECONDS = 16

runs = {}


async def behave(replica, request, writer):
    """A stream of events with rising ids over 11.2 s."""
    runs[request.id] = runs.get(request.id, 0) + 1
    replica.world.record.note(f"run of {request.id} at {replica.id}")
    headers = replica.answer_headers(request) + [("Content-Type", "text/event-stream")]
    lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers] + ["Transfer-Encoding: chunked"]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: word\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_SECONDS)
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    replica.world.record.note(f"run of {request.id} has ended whole at {replica.id}")


async def ask(world, gateway):
    """One request over a new connection; returns its id, its answer, and when it was sent and ended."""
    identity = new_id()
    reader, writer = await asyncio.open_connection(*gateway.callers)
    writer.write(request_bytes("POST", HOST, PATH + "2f", identity, DEADLINE_MS, KEY, body=b"b" * 1_000))
    sent_at = world.record.now()
    world.record.note(f"request {identity} sent to {gateway.name}")
    answer = await asyncio.wait_for(read_answer(reader, Answer()), DEADLINE_MS / 1000 + 2)
    writer.close()
    ended_at = world.record.now()
    world.record.note(f"answer to {identity} ended {ended_at - sent_at:.2f} s after it was sent: {answer}, "
                      f"runs={runs.get(identity, 0)}")
    return identity, answer, sent_at, ended_at


async def case(world):
    if not TROUBLE:
        world.bounds["graceS"] = NEW_GRACE_SECONDS
    await world.start(gateways=3)
    for _ in range(3):
        await world.add_replica(SERVICE, behave)
    route = {"name": "r-1", "host": HOST, "pathPrefix": PATH, "kind": "streaming", "timeoutMs": DEADLINE_MS,
             "targetLatencyMs": 600, "priority": 0, "service": SERVICE, "maxAttempts": 1, "public": False,
             "sticky": False, "resumable": False, "gapTargetMs": 500}
    service = {"name": SERVICE, "healthPath": "/healthz", "maxConnections": 360, "protocol": "h1", "tls": False}
    world.put_configuration([route], [service], [{"name": "t-1", "apiKeys": [KEY], "priority": 1, "isolated": False}])
    await world.start_gateways()
    await asyncio.sleep(world.bounds["contactMs"] / 1000 + 1)

    if TROUBLE:
        world.bounds["graceS"] = NEW_GRACE_SECONDS
        for gateway in world.gateways:
            gateway.write_settings()
            gateway.signal(signal.SIGHUP)
        world.record.note(f"graceS is {NEW_GRACE_SECONDS} in all settings files")
    # More than `contactMs` after the SIGHUP; settings are in force half a second after it.
    await asyncio.sleep(world.bounds["contactMs"] / 1000 + 1)

    stopped = world.gateways[0]
    asked = [asyncio.create_task(ask(world, stopped)) for _ in range(REQUESTS)]
    await asyncio.sleep(0.5)
    stopped.signal(signal.SIGTERM)
    stopped_at = world.record.now()
    # The platform sends SIGKILL after `graceS`.
    if await stopped.ended(NEW_GRACE_SECONDS) is None:
        stopped.signal(signal.SIGKILL)
    world.record.note(f"{stopped.name} ended {world.record.now() - stopped_at:.2f} s after its SIGTERM")

    # LOST: passed on to a replica that ran it whole, cut before its deadline and before the last sixth of `graceS`.
    lost = 0
    for identity, answer, sent_at, ended_at in await asyncio.gather(*asked):
        is_early = ended_at < stopped_at + NEW_GRACE_SECONDS * 5 / 6 and ended_at < sent_at + DEADLINE_MS / 1000
        if not answer.is_complete and runs.get(identity, 0) > 0 and is_early:
            lost += 1
            world.record.note(f"LOST: {identity}, {ended_at - stopped_at:.2f} s after the SIGTERM")
    print(f"{lost} of {REQUESTS} requests lost")
    return lost > 0


main(FOLDER, case)
