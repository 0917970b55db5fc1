"""One replica tells a very long time in `Keep-Alive`."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "..", "standins"))

from world import *  # noqa: E402,F403

SERVICE = "gauge-api"
HOST, PATH, KEY = "jepu9.example", "/fiti832/", "ctnfzs989anu6wsjnban"
REQUESTS = 30

runs = {}


async def behave(replica, request, writer):
    runs[request.id] = runs.get(request.id, 0) + 1
    replica.world.record.note(f"run of {request.id} at {replica.id}")
    await asyncio.sleep(0.03)
    headers = replica.answer_headers(request)
    if TROUBLE and replica is replica.world.replicas[0]:
        headers.append(("Keep-Alive", f"timeout={2**64 - 1}"))
    writer.write(answer_bytes(200, headers, b"x" * 800))


async def case(world):
    await world.start(gateways=3)
    for _ in range(3):
        await world.add_replica(SERVICE, behave)
    route = {"name": "r-1", "host": HOST, "pathPrefix": PATH, "kind": "unsafe", "timeoutMs": 4_000, "targetLatencyMs": 300,
             "priority": 2, "service": SERVICE, "maxAttempts": 1, "public": False, "sticky": False, "resumable": False}
    service = {"name": SERVICE, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": False}
    world.put_configuration([route], [service], [{"name": "t-1", "apiKeys": [KEY], "priority": 1, "isolated": False}])
    await world.start_gateways()
    await asyncio.sleep(world.bounds["contactMs"] / 1000 + 1)
    lost = 0
    for number in range(REQUESTS):
        identity = new_id()
        reader, writer = await asyncio.open_connection(*world.gateways[number % 3].callers)
        writer.write(request_bytes("POST", HOST, PATH + "a", identity, 4_000, KEY, body=b"b" * 600))
        answer = await asyncio.wait_for(read_answer(reader, Answer()), 6)
        writer.close()
        world.record.note(f"answer to {identity}: {answer}, runs={runs.get(identity, 0)}")
        lost += not answer.is_complete and runs.get(identity, 0) > 0
        await asyncio.sleep(0.05)
    print(f"{lost} of {REQUESTS} requests lost")
    return lost > 0


main(FOLDER, case)
