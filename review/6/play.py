import json
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import kit  # noqa: E402
import mail  # noqa: E402

SILENCE = 14.0  # seconds that the machine is cut off; the brief has 6.3 to 24
PAYMENT = "<payment-1@clinics.example>"


def play(case):
    record = case.record
    first = mail.MailServer(record, "server A of the partner")
    second = mail.MailServer(record, "server B of the partner")
    # Whichever server gets the payment is cut off while it is on its way.
    links = [mail.Link(record, server.name, server.address) for server in (first, second)]
    platform = kit.Platform(record)
    case.discovery_address = platform.address
    lmtp_port = kit.free_port()
    mail_config = os.path.join(case.folder, "mail.json")
    with open(mail_config, "w") as f:
        json.dump(mail.mail_file(
            [{"protocol": "lmtp", "address": "127.0.0.1:%d" % lmtp_port}],
            [{"domain": "frames.example", "destination": 1000001, "protocol": "lmtp",
              "addresses": [link.address for link in links]}]), f)
    forwarder = kit.Forwarder(case, arguments="--mail " + mail_config).start()
    client = mail.MailClient(lmtp_port)
    reply = client.send("pay@clinics.example", "desk@frames.example",
                        mail.mail("payment-0@clinics.example", "payment", "a small one"))
    record("the client hears of payment-0: " + reply)
    if not reply.startswith("250"):
        raise kit.CannotRun("no delivery in a calm moment: " + reply)

    ended = threading.Event()

    def cut_one():
        """Cuts off the machine to which the payment is on its way, once a part of the content has come."""
        for link in links:
            link.cut_after = 2000
        if not kit.wait_until(lambda: any(link.cut_at for link in links), 5, 0.0005):
            return
        for link in links:
            link.cut_after = None
        cut = [link for link in links if link.cut_at][0]
        time.sleep(SILENCE)
        cut.heal()
        ended.set()

    if case.trouble:
        threading.Thread(target=cut_one, daemon=True).start()
        time.sleep(0.05)
    record("the client hands in payment-1, 60 KB")
    payment = mail.mail(PAYMENT[1:-1], "payment", "\r\n".join(["one line of a remittance advice " + "." * 40] * 820))
    reply = client.send("pay@clinics.example", "desk@frames.example", payment)
    record("the client hears of payment-1: " + reply)
    if case.trouble and not ended.wait(SILENCE + 10):
        raise kit.CannotRun("no machine was cut off")
    time.sleep(2)

    runs = [(t, server.name) for server in (first, second) for t in server.runs(PAYMENT)]
    record("payment-1 has run %d times: %s; the client heard %s" % (
        len(runs), ", ".join("%s at %.3f s" % (name, t - record.started) for t, name in runs), reply))
    broken = []
    if len(runs) > 1:
        broken.append("payment-1 must never take effect twice, and has taken effect %d times" % len(runs))
    if reply.startswith("250") and not runs or reply.startswith("4") and runs:
        broken.append("the answer '%s' is wrong" % reply)
    if not forwarder.is_running():
        broken.append("the forwarder has ended")
    return broken


kit.Case(os.path.dirname(os.path.abspath(__file__))).run(play)
