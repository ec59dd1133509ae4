import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import hl7  # noqa: E402
import kit  # noqa: E402

DESTINATION = 7
WORK_S = 0.4  # the partner's time for an order
ORDERS = ["ORDER-1"]
FINAL = {"AA", "AE", "AR", "CR"}  # CA and CE are no ends: taken on, and come again


def play(case):
    record = case.record
    partner = kit.Partner(record, "s-1", DESTINATION, WORK_S)
    platform = kit.Platform(record, [partner.entry()])
    case.discovery_address = platform.address
    hl7_port = kit.free_port()
    operator_file = os.path.join(case.folder, "operator.conf")
    with open(operator_file, "w") as f:
        f.write(hl7.operator_file(hl7_port, DESTINATION))
    forwarder = kit.Forwarder(case, arguments="--conf " + operator_file).start()
    time.sleep(1.2)  # no SIGHUP in the first second
    orders = {order: hl7.message("ORM^O01", order, "ORC|NW|4711") for order in ORDERS}
    first = hl7.Client(hl7_port)
    for order, body in orders.items():
        record("the client hands in " + order)
        first.send(body)
    if not kit.wait_until(lambda: all("CA" in first.answers(order) for order in ORDERS), 2, 0.001):
        raise kit.CannotRun("the orders were not taken on: %s" % first.received)
    first.close()
    record("the client hears CA, and its connection breaks")
    if not kit.wait_until(lambda: len(partner.runs) == len(ORDERS), 5):
        raise kit.CannotRun("the orders were not delivered")
    time.sleep(WORK_S + 1)
    record("the partner has run %d order and has answered 200" % len(partner.runs))

    if case.trouble:
        changed = [c for c in kit.settings()["requestClasses"] if c["name"] != "lens-order"]
        forwarder.config["settings"]["requestClasses"] = changed
        forwarder.write_config()
        forwarder.process.send_signal(signal.SIGHUP)
        record("SIGHUP with a file in which the class lens-order has vanished")
    time.sleep(2)  # the pages have it take effect after 1.2 s

    # The client is back. It has heard no end, and sends the same bytes again.
    again = hl7.Client(hl7_port)
    for order, body in orders.items():
        record("the client asks again for " + order)
        again.send(body)
    time.sleep(4)

    broken = []
    for order in ORDERS:
        heard = first.answers(order) + again.answers(order)
        runs = [t for t, _, _, body in partner.runs if ("|%s|" % order).encode() in body]
        record("%s: the client heard %s; the partner ran it %d times" % (order, heard, len(runs)))
        ends = {code for code in heard if code in FINAL}
        if not ends:
            broken.append("%s has got no end" % order)
        elif ends != {"AA"}:
            broken.append("%s has been delivered and has taken effect, and its client hears %s" % (
                order, " and ".join(sorted(ends))))
        if len(runs) > 1:
            broken.append("%s ran %d times" % (order, len(runs)))
    record("log: " + " / ".join(line for line in forwarder.log().splitlines() if "class" in line or "read again" in line))
    if not forwarder.is_running():
        broken.append("the forwarder has ended")
    return broken


kit.Case(os.path.dirname(os.path.abspath(__file__))).run(play)
