#!/usr/bin/env python3
"""A real forwarder whose platform confirms no notices: what does the debt of many failed messages take from others?

bench/reports/notices.py [SECONDS [FAILED_A_SECOND]], after the build of deploy/balancer.toml. A partner refuses each
message for good (504), so each is owed a notice; an honest client's messages go to a sound partner beside them. The
platform is back for 30 s then. Prints what was taken on, the journal and the memory each five seconds. Exit 1: an end
was not told, or an honest message was refused.
"""

import os
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "lib2"))
import kit  # noqa: E402

HONEST_INTERVAL = 0.1
OPEN_SECONDS = 30
REPORT_INTERVAL = 5


class AbsentPlatform(kit.Platform):
    """Lists endpoints, and closes the connections of notices until it is back."""

    back = False

    def handle(self, method, path, headers, body, connection):
        if path == "/status" and not self.back:
            return None
        return super().handle(method, path, headers, body, connection)


class Client:
    """Sends messages to one destination at a steady pace, each on a connection of its own."""

    def __init__(self, port, name, destination, interval):
        self.port, self.name, self.destination, self.interval = port, name, destination, interval
        self.taken, self.refused, self.slowest, self.running = [], 0, 0.0, True
        self.first_refusal = None
        self.thread = threading.Thread(target=self.send, daemon=True)
        self.thread.start()

    def send(self):
        number, began = 0, time.monotonic()
        while self.running:
            message_id = "%s-%d" % (self.name, number)
            started = time.monotonic()
            status = kit.http(self.port, "POST", "/api", {
                "Req-Id": message_id, "Req-Kind": "payment", "Req-Deadline": "6", "Idempotency-Key": message_id,
                "X-Envelope": "dest=%d" % self.destination}, b"x")[0]
            self.slowest = max(self.slowest, time.monotonic() - started)
            if status == 202:
                self.taken.append(message_id)
            else:
                self.refused += 1
                self.first_refusal = self.first_refusal or (round(started - began, 1), status)
            number += 1
            time.sleep(max(0, began + number * self.interval - time.monotonic()))


def show(case, forwarder, client, honest):
    counters = forwarder.counters()
    with open("/proc/%d/status" % forwarder.process.pid) as f:
        resident = next(line.split()[1] for line in f if line.startswith("VmRSS"))
    names = ("entries_owed", "journal_bytes", "journal_full", "turned_down")
    figures = ", ".join("%s %s" % (name, counters.get(name)) for name in names)
    case.record("%s; %s kB resident; failed: %d taken on, %d refused" % (
        figures, resident, len(client.taken), client.refused))
    case.record("honest: %d taken on, %d refused, slowest %.3f s" % (
        len(honest.taken), honest.refused, honest.slowest))


def play(case, seconds, failed_a_second):
    refusing = kit.Partner(lambda text: None, "s-1", 7, work_s=0, answer_to=lambda body: 504)
    sound = kit.Partner(lambda text: None, "s-2", 8, work_s=0)
    platform = AbsentPlatform(lambda text: None, [refusing.entry(), sound.entry()])
    case.discovery_address = platform.address
    forwarder = kit.Forwarder(case).start()
    client = Client(forwarder.port, "failed", 7, 1 / failed_a_second)
    honest = Client(forwarder.port, "honest", 8, HONEST_INTERVAL)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        time.sleep(min(REPORT_INTERVAL, max(0, until - time.monotonic())))
        show(case, forwarder, client, honest)
    client.running = False
    client.thread.join()
    platform.back = True
    back = time.monotonic()

    def untold():
        with platform.condition:
            told = {notice["id"] for _, notice in platform.notices}
        return set(client.taken) - told

    kit.wait_until(lambda: not untold(), OPEN_SECONDS)
    case.record("told all but %d of %d, %.1f s after the return" % (
        len(untold()), len(client.taken), time.monotonic() - back))
    time.sleep(1)
    honest.running = False
    honest.thread.join()
    show(case, forwarder, client, honest)
    case.record("first refusals, seconds and status: failed %s, honest %s" % (client.first_refusal, honest.first_refusal))
    broken = []
    if untold():
        broken.append("%d ends were not told" % len(untold()))
    if honest.refused:
        broken.append("%d honest messages were refused" % honest.refused)
    return broken


def main():
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 60
    failed_a_second = float(sys.argv[2]) if len(sys.argv) > 2 else 200
    folder = kit.tempfile.mkdtemp(prefix="notices-")
    kit.Case(folder).run(lambda case: play(case, seconds, failed_a_second))


main()
