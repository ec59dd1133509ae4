import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import hl7  # noqa: E402
import kit  # noqa: E402

LAB, PAYMENTS = 7, 8
# The pace of two partners, in seconds: an order is wanted within 4 s, a payment too.
LAB_S, PAYMENTS_S = 0.6, 1.6
ORDER, PAYMENT = "ORDER-1", "PAY-1"


def play(case):
    record = case.record
    lab = kit.Partner(record, "s-1", LAB, LAB_S)
    payments = kit.Partner(record, "s-2", PAYMENTS, PAYMENTS_S)
    platform = kit.Platform(record, [lab.entry(), payments.entry()])
    case.discovery_address = platform.address
    hl7_port = kit.free_port()
    operator_file = os.path.join(case.folder, "operator.conf")
    with open(operator_file, "w") as f:
        f.write(hl7.operator_file(hl7_port, LAB, "[hl7-destination %d]" % PAYMENTS, "receivers BANK"))
    forwarder = kit.Forwarder(case, arguments="--conf " + operator_file).start()
    time.sleep(1)

    # Two systems of one practice. The newer one speaks enhanced mode, the older one original mode: it sends a message
    # and takes what comes next for its acknowledgement.
    newer, older = hl7.Client(hl7_port), hl7.Client(hl7_port)
    record("the newer system (enhanced mode) hands in " + ORDER)
    newer.send(hl7.message("ORM^O01", ORDER, "ORC|NW|4711"))
    if not kit.wait_until(lambda: newer.answers(ORDER) == ["CA"], 2, 0.005):
        raise kit.CannotRun("the order was not taken on: %s" % newer.received)
    record("it hears CA of " + ORDER)
    record("the older system (original mode) hands in %s and waits for its acknowledgement" % PAYMENT)
    older.send(hl7.message("DFT^P03", PAYMENT, "FT1|1|||20261201|||PAY", "CLINIC2", "", "BANK"))
    kit.wait_until(lambda: payments.runs, 2)
    if case.trouble:
        newer.close()
        record("the newer system disconnects while its message is in flight")
    time.sleep(PAYMENTS_S + 2)

    for t, code, control_id in newer.received:
        record("the newer system heard at %.3f s: %s of %s" % (t - record.started, code, control_id))
    for t, code, control_id in older.received:
        record("the older system heard at %.3f s: %s of %s" % (t - record.started, code, control_id))
    broken = []
    foreign = [(code, control_id) for _, code, control_id in older.received if control_id != PAYMENT]
    if foreign:
        broken.append("the older system, which waited for the acknowledgement of %s, got %s" % (
            PAYMENT, " and ".join("%s of %s" % pair for pair in foreign)))
    if older.answers(PAYMENT) not in (["AA"], []) or not older.answers(PAYMENT):
        broken.append("%s was acknowledged by %s" % (PAYMENT, older.answers(PAYMENT)))
    if case.trouble:
        record("the newer system is back and hands in its next message")
        back = hl7.Client(hl7_port)
        back.send(hl7.message("ORM^O01", "ORDER-2", "ORC|NW|4712"))
        kit.wait_until(lambda: "AA" in back.answers("ORDER-2"), 5)
        time.sleep(0.3)
        record("it hears %s" % [(code, control_id) for _, code, control_id in back.received])
    if not forwarder.is_running():
        broken.append("the forwarder has ended")
    return broken


kit.Case(os.path.dirname(os.path.abspath(__file__))).run(play)
