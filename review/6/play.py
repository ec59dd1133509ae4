import collections
import os
import random
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import hl7  # noqa: E402
import kit  # noqa: E402

DESTINATION = 7
CLIENTS, PAYMENTS_EACH = 4, 45
LONGEST_STAY_S = 0.004  # a client leaves at a random moment within this time after its last byte


def hand_in(port, control_id, body, leaves, chance):
    """Hands in a payment over HTTP; the client leaves before its answer, or waits for it. Returns what it heard."""
    with socket.create_connection(("127.0.0.1", port), timeout=2) as s:
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        head = "\r\n".join([
            "POST /api HTTP/1.1", "Host: app.svc", "Req-Id: http-" + control_id, "Req-Kind: payment",
            "Req-Deadline: 28", "X-Practice: north", "Idempotency-Key: " + control_id,
            "Content-Length: %d" % len(body), "X-Envelope: dest=%d" % DESTINATION])
        s.sendall(head.encode() + b"\r\n\r\n" + body)
        if not leaves:
            return s.recv(200).decode("latin-1").split("\r\n")[0]
        time.sleep(chance.random() * LONGEST_STAY_S)
        s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))  # as a dying process: a reset
        return "nothing, it left"


def play(case):
    record = case.record
    partner = kit.Partner(record, "s-1", DESTINATION)
    platform = kit.Platform(record, [partner.entry()])
    case.discovery_address = platform.address
    hl7_port = kit.free_port()
    operator_file = os.path.join(case.folder, "operator.conf")
    with open(operator_file, "w") as f:
        f.write(hl7.operator_file(hl7_port, DESTINATION))
    forwarder = kit.Forwarder(case, arguments="--conf " + operator_file).start()
    time.sleep(1)
    clinic = hl7.Client(hl7_port)
    heard = {}

    def send_all(number):
        chance = random.Random(number)
        for i in range(PAYMENTS_EACH):
            control_id = "PAY-%d-%d" % (number, i)
            body = hl7.message("DFT^P03", control_id, "FT1|1|||20261201|||PAY")
            heard[control_id] = hand_in(forwarder.port, control_id, body, case.trouble, chance)
            time.sleep(0.2)
            clinic.send(body)  # the same message, on the other port
            kit.wait_until(lambda: "AA" in clinic.answers(control_id) or "AE" in clinic.answers(control_id), 5)

    threads = [threading.Thread(target=send_all, args=(n,)) for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(1.5)

    runs = collections.defaultdict(list)
    for t, message_id, key, body in list(partner.runs):
        runs[body.decode("latin-1").split("|")[9]].append((t, message_id, key))
    for control_id in sorted(heard):
        record("%s: over HTTP the client heard %s; over HL7 %s; the partner ran it: %s" % (
            control_id, heard[control_id], clinic.answers(control_id),
            ", ".join("at %.3f s as %s" % (t - record.started, message_id) for t, message_id, _ in runs[control_id])))
    record("counters: " + " ".join("%s %s" % item for item in forwarder.counters().items() if item[0] in (
        "handed_in", "taken", "withdrawn", "joined", "told_again", "delivered", "broken_invariants")))
    twice = [control_id for control_id in heard if len(runs[control_id]) > 1]
    never = [control_id for control_id in heard if not runs[control_id] and "AA" in clinic.answers(control_id)]
    record("%d payments, %d ran more than once, %d were told as delivered and never ran" % (
        len(heard), len(twice), len(never)))
    broken = []
    if twice:
        broken.append("%d of %d payments have run more than once: %s" % (len(twice), len(heard), ", ".join(twice[:5])))
    if never:
        broken.append("told as delivered, and never ran: " + ", ".join(never[:5]))
    if not forwarder.is_running():
        broken.append("the forwarder has ended")
    return broken


kit.Case(os.path.dirname(os.path.abspath(__file__))).run(play)
