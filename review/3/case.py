"""One bad client on the HL7 port sends at full speed: what was taken on over HTTP is not ended in time."""

import os
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import hl7  # noqa: E402
import rig  # noqa: E402

FLOOD_S = 8.0  # the bad client stops by then
AT_ONCE = 400  # requests at once, over and over
GRACE_S = 0.5 + 0.05  # STANDING: up to half a second after its time; PROTOCOL: every time limit is 50 ms longer


def bad_client(record, port, until):
    """Hundreds of requests at once, at full speed, on one connection; whatever is sent to it is read."""
    sent = [0]
    with socket.create_connection(("127.0.0.1", port), 5) as sock:
        def read():
            try:
                while sock.recv(65536):
                    pass
            except OSError:
                pass

        threading.Thread(target=read, daemon=True).start()
        record("bad client", "begins", at_once=AT_ONCE)
        try:
            while time.monotonic() < until:
                sock.settimeout(max(0.05, until - time.monotonic()))
                sock.sendall(b"".join(hl7.VT + hl7.order(f"B{sent[0] + i}", sender="CLINIC2") + hl7.FS + hl7.CR
                                      for i in range(AT_ONCE)))
                sent[0] += AT_ONCE
        except OSError as e:
            record("bad client", f"{type(e).__name__} {e}")
        record("bad client", "leaves", sent=sent[0])


def case(record, folder, started):
    # One partner is shut and refuses all, in both runs: its messages end by a notice when their time is up. It gets 6 of
    # 20 messages and is shut for 15 s (the page: up to 32% of the traffic, for 8.6 to 20 s).
    opens = [0.0]
    shut = rig.Endpoint(record, "s-5be2a07c", lambda headers, body: "full" if time.monotonic() < opens[0] else "ok")
    sound = rig.Endpoint(record, "s-0d9ae2dc", lambda headers, body: 0.08)
    platform = rig.Platform(record, [rig.entry("s-5be2a07c", shut.address, 7),
                                     rig.entry("s-0d9ae2dc", sound.address, 8)])
    hl7_port = rig.free_port()
    conf = os.path.join(folder, "operator.conf")
    with open(conf, "w") as f:
        f.write(hl7.CONF.format(port=hl7_port))
    forwarder = rig.Forwarder(record, folder, platform, rig.settings([rig.ORDER, rig.STATUS, rig.PAYMENT]),
                              options="--conf " + conf)
    started.append(forwarder)
    forwarder.start()
    if not forwarder.wait_ready():
        raise rig.CannotRun("the forwarder did not start")
    time.sleep(1.2)

    opens[0] = time.monotonic() + 15
    for number in range(14):
        rig.hand_in(record, forwarder, f"77c1{number:012x}", "status-update", 8, 4.0)
    due = {}
    for number, (kind, seconds) in enumerate([("status-update", 4.0), ("lens-order", 5.0), ("payment", 6.0)] * 2):
        message_id = f"9b1f03aa5c7e2d4{number}"
        handed_in = time.monotonic()
        key = f"5c0f6e1a2b3d4c5{number}" if kind == "lens-order" else None
        if rig.hand_in(record, forwarder, message_id, kind, 7, seconds, key=key) not in (200, 202):
            raise rig.CannotRun("a message was not taken on")
        due[message_id] = handed_in + seconds
    time.sleep(0.5)

    if rig.TROUBLE:
        until = time.monotonic() + FLOOD_S
        threading.Thread(target=bad_client, args=(record, hl7_port, until), daemon=True).start()
    ended = {}
    stop = time.monotonic() + 30
    asked = 0
    while time.monotonic() < stop and len(ended) < len(due):
        for message_id in due:
            if message_id not in ended and platform.notice_of(message_id):
                ended[message_id] = time.monotonic()
        if time.monotonic() > asked + 2:
            asked = time.monotonic()
            record("n1", "GET /counters", answer=counters_answer(forwarder))
        time.sleep(0.02)

    lost = 0
    for message_id, at in due.items():
        late = ended[message_id] - at if message_id in ended else None
        is_lost = late is None or late > GRACE_S
        lost += is_lost
        record("case", "LOST" if is_lost else "ended in time", id=message_id,
               after_its_time="never, in 30 s" if late is None else f"{late:.3f} s")
    record("case", f"{lost} of {len(due)} messages were lost")
    return rig.BROKEN if lost else rig.HELD


def counters_answer(forwarder):
    """Whether the event loop answers within a second."""
    try:
        with socket.create_connection(forwarder.address, 1) as sock:
            sock.settimeout(1)
            sock.sendall(b"GET /counters HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
            answer = rig.HttpReader(sock).message()
            return answer[0] if answer else "closed"
    except OSError as e:
        return type(e).__name__


rig.play(HERE, case)
