#!/usr/bin/env python3
"""An address that another process takes over, while the old one keeps its connections; the built jar.

bench/clients/reused_address.py. Five changes of the list, one after the other: the process at an address is another
one by its start time, by its destination, or by its name, also while a call is out, and one that leaves and comes
back. Work that is first sent to the old process 500 ms or more after the change was told, or to a process of another
destination, or that runs twice, breaks the rule. Exit 1: broken.
"""

import collections
import os
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "lib2"))
import kit  # noqa: E402

GRACE_S = 0.5


class Address(kit.HttpServer):
    """A listening socket that processes hand on; a connection stays with the process that accepted it."""

    def __init__(self, destination):
        self.process, self.destination, self.work_s = 1, destination, 0.05
        self.calls = []  # (time, message id, process, its destination)
        super().__init__()

    def hand_over(self, destination):
        self.process += 1
        self.destination = destination

    def serve(self, connection):
        thread = threading.current_thread()
        thread.process, thread.destination = self.process, self.destination
        super().serve(connection)

    def handle(self, method, path, headers, body, connection):
        if path == "/receive":
            thread = threading.current_thread()
            self.calls.append((time.monotonic(), headers["req-id"], thread.process, thread.destination))
            time.sleep(self.work_s)
        return kit.answer(200)


def play(case):
    record = case.record
    address = Address(7)

    def entry(name, group, since_ms, status="active"):
        return {"name": name, "address": address.address, "zone": "z", "type": "supplier", "group": group,
                "status": status, "weight": 1.0, "since_ms": since_ms}

    platform = kit.Platform(record, [entry("s-1", 7, 1000)])
    case.discovery_address = platform.address
    forwarder = kit.Forwarder(case).start()
    time.sleep(1)
    destination_of, broken, number = {}, [], [0]

    def hand_in(destination, count):
        for _ in range(count):
            number[0] += 1
            message_id = "m-%d" % number[0]
            destination_of[message_id] = destination
            kit.http(forwarder.port, "POST", "/api", {
                "Req-Id": message_id, "Req-Kind": "payment", "Req-Deadline": "10",
                "X-Envelope": "dest=%d" % destination}, b"x")

    def change(what, group, *entries, while_out=False):
        hand_in(address.destination, 3)
        kit.wait_until(lambda: len(address.calls) >= number[0], 5)
        if while_out:
            address.work_s = 1.0
            hand_in(address.destination, 3)
            time.sleep(0.2)
        else:
            time.sleep(0.8)  # the connections are idle, and have rested
        address.hand_over(group)
        for each in entries:
            platform.set(each)
        told = time.monotonic()
        time.sleep(GRACE_S)
        address.work_s = 0.05
        hand_in(group, 5)
        time.sleep(1.5)
        wrong = [c for c in address.calls if c[0] >= told + GRACE_S and c[2] != address.process]
        misplaced = [c for c in address.calls if c[0] >= told and c[3] != destination_of[c[1]]]
        twice = [i for i, n in collections.Counter(c[1] for c in address.calls).items() if n > 1]
        new = len([c for c in address.calls if c[0] >= told + GRACE_S and c[2] == address.process])
        record("%s: %d calls to the new process, %d to the old one, %d at another destination, %d twice" % (
            what, new, len(wrong), len(misplaced), len(twice)))
        if wrong or misplaced or twice:
            broken.append("%s: %s" % (what, (wrong + misplaced + twice)[:3]))

    change("another start time", 7, entry("s-1", 7, 2000))
    change("another destination", 8, entry("s-1", 8, 3000))
    change("another destination and no new start time", 7, entry("s-1", 7, 3000))
    change("another name", 7, entry("s-1", 7, 3000, "left"), entry("s-2", 7, 4000))
    change("another start time while a call is out", 7, entry("s-2", 7, 5000), while_out=True)
    change("another name while a call is out", 7, entry("s-3", 7, 6000), entry("s-2", 7, 5000, "left"), while_out=True)
    return broken


if __name__ == "__main__":
    kit.Case(tempfile.mkdtemp(prefix="reused-")).run(play)
