#!/usr/bin/env python3
"""One client that writes small requests at full speed and reads no answer, beside honest clients; the built jar.

bench/clients/flood.py [SECONDS] [FORM]. Forms: get, missing (404), unsound, new-names (a new id and class each time),
hand-in, hl7. The client opens a new connection when its own breaks. Prints the memory of the process and how long
honest clients waited for a health check, a hand-in and a notice. An honest answer after 400 ms, a notice later than
300 ms after its time, or a process that ends breaks the rule. Exit 1: broken.
"""

import collections
import os
import socket
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "lib2"))
import hl7  # noqa: E402
import kit  # noqa: E402

DESTINATION, ABSENT_DESTINATION = 7, 8
LATEST_ANSWER_S, LATEST_NOTICE_S = 0.4, 0.3
MEMORY_MB = int(os.environ.get("MEMORY_MB", "128"))
HAND_IN = "POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline: 6\r\nX-Envelope: dest=7\r\nContent-Length: 0\r\n\r\n"


def block(form, number):
    """Some requests for one write."""
    if form == "get":
        return b"GET /health/live HTTP/1.1\r\n\r\n" * 500
    if form == "missing":
        return b"GET / HTTP/1.1\r\n\r\n" * 500
    if form == "unsound":
        return b"GET\r\n\r\n" * 500
    if form == "new-names":
        return "".join(HAND_IN % ("f-%d-%d" % (number, i), "kind-%d-%d" % (number, i)) for i in range(100)).encode()
    if form == "hand-in":
        return "".join(HAND_IN % ("f-%d-%d" % (number, i), "status-update") for i in range(100)).encode()
    return b"".join(
        b"\x0b" + hl7.message("ORM^O01", "F-%d-%d" % (number, i), "ORC|x") + b"\x1c\r" for i in range(100))


def resident_mb(pid):
    with open("/proc/%d/status" % pid) as f:
        return [int(line.split()[1]) // 1024 for line in f if line.startswith("VmRSS")][0]


def play(case, seconds, form):
    record = case.record
    partner = kit.Partner(record, "s-1", DESTINATION)
    refusing = kit.Partner(record, "s-2", ABSENT_DESTINATION, answer_to=lambda body: 503)
    platform = kit.Platform(record, [partner.entry(), refusing.entry()])
    platform.record = refusing.record = partner.record = lambda text: None
    case.discovery_address = platform.address
    hl7_port = kit.free_port()
    operator_file = os.path.join(case.folder, "operator.conf")
    with open(operator_file, "w") as f:
        f.write(hl7.operator_file(hl7_port, DESTINATION))
    forwarder = kit.Forwarder(case, arguments="--conf " + operator_file).start()
    ends = time.monotonic() + seconds
    sent = collections.Counter()
    waits = {"health": [], "hand-in": []}
    answers = collections.Counter()
    due = {}

    def flood():
        while time.monotonic() < ends:
            try:
                port = hl7_port if form == "hl7" else forwarder.port
                with socket.create_connection(("127.0.0.1", port), timeout=1) as s:
                    sent["connections"] += 1
                    while time.monotonic() < ends:
                        sent["blocks"] += 1
                        s.sendall(block(form, sent["blocks"]))
            except OSError:
                pass

    def honest(name, path):
        number = 0
        while time.monotonic() < ends:
            number += 1
            began = time.monotonic()
            headers = {"Req-Id": "h-%d" % number, "Req-Kind": "status-update", "Req-Deadline": "2",
                       "X-Envelope": "dest=%d" % ABSENT_DESTINATION}
            try:
                status = kit.http(forwarder.port, *(("GET", path) if name == "health" else ("POST", path, headers, b"x")),
                                  timeout=5)[0]
                if status == 202:
                    due["h-%d" % number] = began + 2
            except OSError as e:
                status = type(e).__name__
            answers[name, status] += 1
            waits[name].append(time.monotonic() - began)
            time.sleep(0.1)

    peak = resident_mb(forwarder.process.pid)
    honest_threads = [threading.Thread(target=honest, args=a) for a in (("health", "/health/live"), ("hand-in", "/api"))]
    threads = honest_threads + [threading.Thread(target=flood, daemon=True)]
    for thread in threads:
        thread.start()
    while time.monotonic() < ends and forwarder.is_running():
        peak = max(peak, resident_mb(forwarder.process.pid))
        time.sleep(0.2)
    for thread in honest_threads:
        thread.join()
    time.sleep(3)
    told = {}
    for at, notice in list(platform.notices):
        told.setdefault(notice["id"], at)
    late = {i: told.get(i, time.monotonic()) - at for i, at in due.items() if told.get(i, time.monotonic()) > at + LATEST_NOTICE_S}
    record("%s: %s, peak %d MB" % (form, dict(sent), peak))
    record("answers: %s" % {"%s %s" % k: v for k, v in answers.items()})
    broken = []
    for name, times in waits.items():
        record("%s: median %.3f s, longest %.3f s, %d over %.1f s" % (
            name, sorted(times)[len(times) // 2], max(times), len([t for t in times if t > LATEST_ANSWER_S]), LATEST_ANSWER_S))
        if max(times) > LATEST_ANSWER_S:
            broken.append("%s: an honest client waited %.3f s" % (name, max(times)))
    record("%d notices due, %d late" % (len(due), len(late)))
    if late:
        broken.append("%d notices late, up to %.3f s" % (len(late), max(late.values())))
    if peak > MEMORY_MB:
        broken.append("%d MB" % peak)
    if not forwarder.is_running():
        broken.append("the forwarder has ended")
    if "OutOfMemory" in forwarder.log():
        broken.append("the heap was full")
    record("log: %d lines" % forwarder.log().count("\n"))
    return broken


if __name__ == "__main__":
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 15
    form = sys.argv[2] if len(sys.argv) > 2 else "get"
    kit.Case(tempfile.mkdtemp(prefix="flood-")).run(lambda case: play(case, seconds, form))
