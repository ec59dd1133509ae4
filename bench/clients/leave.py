#!/usr/bin/env python3
"""Clients that leave behind their payments and come again; the built jar under the deploy file's run command.

bench/clients/leave.py [SECONDS] [SEED]. Each client writes payments on one connection over HTTP, leaves by a reset or
a close after a while, with answers unread, and comes again with the same keys on HTTP or HL7, for some of them over a
restart by SIGKILL. A payment that runs twice breaks
the rule. Exit 1: the rule was broken.
"""

import collections
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "lib2"))
import hl7  # noqa: E402
import kit  # noqa: E402

DESTINATION = 7
CLIENTS = 3
LONGEST_STAY_S = 0.03


def request(control_id, body, req_id):
    head = "\r\n".join([
        "POST /api HTTP/1.1", "Host: app.svc", "Req-Id: " + req_id, "Req-Kind: payment", "Req-Deadline: 28",
        "X-Practice: north", "Idempotency-Key: " + control_id, "Content-Length: %d" % len(body),
        "X-Envelope: dest=%d" % DESTINATION])
    return head.encode() + b"\r\n\r\n" + body


def leave(connection, by_reset):
    if by_reset:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


def play(case, seconds, seed):
    record = case.record
    partner = kit.Partner(record, "s-1", DESTINATION)
    platform = kit.Platform(record, [partner.entry()])
    case.discovery_address = platform.address
    hl7_port = kit.free_port()
    operator_file = os.path.join(case.folder, "operator.conf")
    with open(operator_file, "w") as f:
        f.write(hl7.operator_file(hl7_port, DESTINATION, *os.environ.get("OPERATOR_LINES", "").split(";")))
    forwarder = kit.Forwarder(case, arguments="--conf " + operator_file).start()
    left_at, handed_in = {}, collections.Counter()
    restart = threading.Lock()
    ends = time.monotonic() + seconds

    def client(number):
        chance = random.Random(seed * 1000 + number)
        turn = 0
        while time.monotonic() < ends:
            turn += 1
            count = chance.choice([1, 1, 5, 40])
            ids = ["P-%d-%d-%d" % (number, turn, i) for i in range(count)]
            bodies = [hl7.message("DFT^P03", i, "FT1|1|||20261201|||PAY") for i in ids]
            same_req_id = chance.random() < 0.5
            back = chance.choice(["http", "http", "hl7"])
            try:
                with restart:
                    connection = socket.create_connection(("127.0.0.1", forwarder.port), timeout=2)
                connection.sendall(b"".join(request(i, b, "a-" + i) for i, b in zip(ids, bodies)))
                time.sleep(chance.random() * LONGEST_STAY_S)
                leave(connection, chance.random() < 0.5)
            except OSError:
                pass
            for i in ids:
                left_at[i] = time.monotonic()
            time.sleep(chance.choice([0.0, 0.05, 0.3]))
            try:
                if back == "hl7":
                    clinic = hl7.Client(hl7_port)
                    for i, b in zip(ids[:20], bodies):
                        clinic.send(b)
                    kit.wait_until(lambda: all(clinic.answers(i) for i in ids[:20]), 2)
                    clinic.close()
                else:
                    for i, b in zip(ids, bodies):
                        with socket.create_connection(("127.0.0.1", forwarder.port), timeout=2) as again:
                            again.sendall(request(i, b, ("a-" if same_req_id else "b-") + i))
                            handed_in[again.recv(100)[9:12].decode() or "closed"] += 1
            except OSError:
                handed_in["not reached"] += 1

    threads = [threading.Thread(target=client, args=(n,)) for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    while os.environ.get("RESTARTS", "1") != "0" and time.monotonic() < ends - 6:
        time.sleep(5)
        with restart:
            forwarder.process.send_signal(signal.SIGKILL)
            forwarder.process.wait()
            forwarder.start()
    for thread in threads:
        thread.join()
    time.sleep(3)
    runs = collections.Counter()
    for t, _, key, body in list(partner.runs):
        control_id = body.decode("latin-1").split("|")[9]
        runs[control_id] += 1
    record("handed in again: %s" % dict(handed_in))
    record("counters since the last start: " + " ".join("%s %s" % item for item in forwarder.counters().items() if item[0] in (
        "handed_in", "taken", "withdrawn", "kept_without_client", "joined", "told_again", "broken_invariants")))
    twice = [i for i in left_at if runs[i] > 1]
    record("%d payments, %d ran, %d ran more than once" % (len(left_at), len([i for i in left_at if runs[i]]), len(twice)))
    return ["ran more than once: " + ", ".join(twice[:5])] if twice else []


if __name__ == "__main__":
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 30
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    kit.Case(tempfile.mkdtemp(prefix="leave-")).run(lambda case: play(case, seconds, seed))
