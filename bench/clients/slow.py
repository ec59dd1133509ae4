#!/usr/bin/env python3
"""Hundreds of clients that write slowly, stop half way or send many short fields, on all ports; the built jar.

bench/clients/slow.py [SECONDS] [CLIENTS]; FORM chooses one form. An honest HTTP client hands in a message every 0.2 s beside them. Prints
the memory of the process each second, its threads and descriptors, and what the honest client was answered. Over
memory_mb (MEMORY_MB, 128), a process that ends, or an honest answer after 400 ms breaks the rule. Exit 1: broken.
"""

import collections
import multiprocessing
import os
import random
import socket
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "lib2"))
import hl7  # noqa: E402
import kit  # noqa: E402

DESTINATION = 7
MEMORY_MB = int(os.environ.get("MEMORY_MB", "128"))
LATEST_ANSWER_S = 0.4
PROCESSES = 4
HEAD = "POST /api HTTP/1.1\r\nHost: app.svc\r\nReq-Id: slow-%d\r\nReq-Kind: status-update\r\nReq-Deadline: 6\r\n"


def short_fields(number):
    """As many fields of 3 bytes as a head may have, and some more; without the end of the head."""
    return ((HEAD % number) + "".join("%s:%s\r\n" % (chr(97 + i // 26), chr(97 + i % 26)) for i in range(55))).encode()


def half_body(number):
    return ((HEAD % number) + "X-Envelope: dest=7\r\nContent-Length: 65536\r\n\r\n").encode() + b"x" * 60000


def small_chunks(number):
    return ((HEAD % number) + "X-Envelope: dest=7\r\nTransfer-Encoding: chunked\r\n\r\n").encode() + b"1\r\nx\r\n" * 9000


def pipelined(number):
    one = ((HEAD % number) + "X-Envelope: dest=7\r\nContent-Length: 0\r\n\r\n").encode()
    return one * (16000 // len(one)) + one[:-4]


FORMS = {"short fields": short_fields, "half a body": half_body, "small chunks": small_chunks, "pipelined": pipelined,
         "hl7": lambda number: b"\x0b" + hl7.message("ORM^O01", "S-%d" % number, "ORC|" + "x" * 50000)[:-1]}


def status(pid):
    with open("/proc/%d/status" % pid) as f:
        fields = dict(line.split(":", 1) for line in f)
    return int(fields["VmRSS"].split()[0]) // 1024, int(fields["Threads"]), len(os.listdir("/proc/%d/fd" % pid))


def play(case, seconds, clients):
    record = case.record
    partner = kit.Partner(record, "s-1", DESTINATION)
    platform = kit.Platform(record, [partner.entry()])
    case.discovery_address = platform.address
    hl7_port = kit.free_port()
    operator_file = os.path.join(case.folder, "operator.conf")
    with open(operator_file, "w") as f:
        f.write(hl7.operator_file(hl7_port, DESTINATION))
    forwarder = kit.Forwarder(case, arguments="--conf " + operator_file).start()
    names = [n for n in FORMS if n in os.environ.get("FORM", n)]
    ends = time.monotonic() + seconds
    answers, waits, peak = collections.Counter(), [], [0, 0, 0]

    def slow(number):
        chance = random.Random(number)
        while time.monotonic() < ends:
            name = names[number % len(names)]
            data = FORMS[name](number)
            try:
                port = hl7_port if name == "hl7" else forwarder.port
                with socket.create_connection(("127.0.0.1", port), timeout=2) as s:
                    cut = chance.choice([len(data), len(data), len(data) // 2])
                    s.sendall(data[:cut])
                    for byte in data[cut:cut + 20]:
                        time.sleep(0.2)
                        s.sendall(bytes([byte]))
                    s.settimeout(4)
                    s.recv(1000)
            except OSError:
                time.sleep(0.1)

    def honest():
        number = 0
        while time.monotonic() < ends:
            number += 1
            began = time.monotonic()
            try:
                status_code, _, _ = kit.http(forwarder.port, "POST", "/api", {
                    "Req-Id": "honest-%d" % number, "Req-Kind": "status-update", "Req-Deadline": "6",
                    "X-Envelope": "dest=%d" % DESTINATION}, b"x")
                answers[status_code] += 1
            except OSError as e:
                answers[type(e).__name__] += 1
            waits.append(time.monotonic() - began)
            if waits[-1] > LATEST_ANSWER_S:
                record("honest client: %.3f s, begun %.3f s after the slow ones" % (waits[-1], began - slow_began))
            time.sleep(0.2)

    def slow_clients(numbers):
        threads = [threading.Thread(target=slow, args=(n,), daemon=True) for n in numbers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    processes = [multiprocessing.Process(target=slow_clients, args=(range(n, clients, PROCESSES),), daemon=True)
                 for n in range(PROCESSES)]  # so that they take no time of the honest client's process
    for process in processes:
        process.start()
    slow_began = time.monotonic()
    honest_client = threading.Thread(target=honest)
    honest_client.start()
    while time.monotonic() < ends and forwarder.is_running():
        now = status(forwarder.process.pid)
        peak = [max(a, b) for a, b in zip(peak, now)]
        time.sleep(0.5)
    honest_client.join()
    for process in processes:
        process.terminate()
    record("peak: %d MB resident, %d threads, %d descriptors" % tuple(peak))
    record("honest client: %s, median %.3f s, longest %.3f s" % (dict(answers), sorted(waits)[len(waits) // 2], max(waits)))
    broken = []
    if peak[0] > MEMORY_MB:
        broken.append("%d MB" % peak[0])
    if not forwarder.is_running():
        broken.append("the forwarder has ended")
    if max(waits) > LATEST_ANSWER_S:
        broken.append("an honest client waited %.3f s for its answer" % max(waits))
    if "OutOfMemory" in forwarder.log():
        broken.append("the heap was full")
    return broken


if __name__ == "__main__":
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 25
    clients = int(sys.argv[2]) if len(sys.argv) > 2 else 500
    kit.Case(tempfile.mkdtemp(prefix="slow-")).run(lambda case: play(case, seconds, clients))
