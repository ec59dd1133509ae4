#!/usr/bin/env python3
"""Real forwarders whose clients' mail server is away: is each client told of its failed mail once the server is back?

bench/reports/outage.py FORM [SECONDS [REPORTS]], after the build of deploy/balancer.toml. FORM is how the server is
away: refuses (451 to each content), closed (no connection), silent (no greeting), tarpit (no reply to a content); kill
and term: refuses, and the forwarder is killed or stopped and started again meanwhile. The server is back for 45 s.
"""

import os
import signal
import socket
import sys
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "review", "lib2"))
import kit  # noqa: E402
import mail  # noqa: E402

OPEN_SECONDS = 45
HONEST_INTERVAL = 0.25


class ClinicServer(mail.MailServer):
    """A server at a fixed port that can be away in several ways."""

    def __init__(self, record, form):
        self.form, self.away, self.connections = form, True, 0
        super().__init__(record, "the clinic's server", reply=self.answer)
        self.port = self.listener.getsockname()[1]
        if form == "closed":
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()

    def answer(self, number, message_id):
        if not self.away:
            return "250 2.6.0 done %d" % number
        return None if self.form == "tarpit" else "451 4.3.2 shut"

    def serve(self, connection):
        self.connections += 1
        if self.away and self.form == "silent":
            while connection.recv(4096):
                pass
            return
        super().serve(connection)

    def come_back(self):
        self.away = False
        if self.form == "closed":
            self.listener = socket.socket()
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.bind(("127.0.0.1", self.port))
            self.listener.listen(64)
            threading.Thread(target=self.accept, daemon=True).start()


def quiet(text):
    pass


class Honest:
    """A client whose orders go to a sound partner meanwhile."""

    def __init__(self, smtp_port, sound):
        self.port, self.sound, self.sent, self.refused, self.slowest, self.running = smtp_port, sound, 0, 0, 0.0, True
        self.thread = threading.Thread(target=self.send, daemon=True)
        self.thread.start()

    def send(self):
        while self.running:
            started = time.monotonic()
            try:
                client = mail.MailClient(self.port, "EHLO")
                reply = client.send("pay@clinics.example", "desk@lenses.example",
                                    mail.mail("honest-%d@clinics.example" % self.sent, "order", "one frame"))
                client.close()
                self.sent += reply.startswith("250")
                self.refused += not reply.startswith("250")
                self.slowest = max(self.slowest, time.monotonic() - started)
            except OSError:
                pass  # the forwarder is down
            time.sleep(HONEST_INTERVAL)


def play(case, form, away_seconds, report_count):
    clinic = ClinicServer(quiet, form)
    partner = mail.MailServer(quiet, "the partner's server", reply=lambda n, i: "550 5.2.1 takes nothing")
    sound = mail.MailServer(quiet, "a sound partner's server")
    platform = kit.Platform(quiet)
    case.discovery_address = platform.address
    smtp_port = kit.free_port()
    mail_config = os.path.join(case.folder, "mail.json")
    with open(mail_config, "w") as f:
        f.write(__import__("json").dumps(mail.mail_file(
            [{"protocol": "smtp", "address": "127.0.0.1:%d" % smtp_port}],
            [{"domain": domain, "destination": number, "protocol": "smtp", "addresses": [address]}
             for domain, number, address in (
                 ("frames.example", 1000001, partner.address),
                 ("clinics.example", 1000002, "127.0.0.1:%d" % clinic.port),
                 ("lenses.example", 1000003, sound.address))])))
    forwarder = kit.Forwarder(case, arguments="--mail " + mail_config).start()
    away_since = time.monotonic()
    client = mail.MailClient(smtp_port, "EHLO")
    taken = 0
    for number in range(report_count):
        kind = "payment" if number % 2 else "order"
        reply = client.send("pay@clinics.example", "desk@frames.example",
                            mail.mail("failed-%d@clinics.example" % number, kind, "99 dollars"))
        taken += reply.startswith("250")
    case.record("taken on: %d of %d in %.1f s" % (taken, report_count, time.monotonic() - away_since))
    honest = Honest(smtp_port, sound)
    time.sleep(away_seconds / 2)
    if form in ("kill", "term"):
        forwarder.process.send_signal(signal.SIGKILL if form == "kill" else signal.SIGTERM)
        forwarder.process.wait()
        forwarder.start()
    time.sleep(max(0, away_since + away_seconds - time.monotonic()))
    show(case, forwarder, clinic, "at the end of the outage")
    clinic.come_back()
    back = time.monotonic()

    def told():
        return {taken[1] for taken in clinic.taken if taken[0] > back}

    kit.wait_until(lambda: len(told()) >= taken, OPEN_SECONDS)
    case.record("told %d of %d, the last %.1f s after the return" % (
        len(told()), taken, max([t[0] - back for t in clinic.taken] or [0])))
    time.sleep(1)
    honest.running = False
    case.record("honest mails: %d taken on, %d refused, the slowest reply after %.3f s; %d delivered" % (
        honest.sent, honest.refused, honest.slowest, len(sound.taken)))
    show(case, forwarder, clinic, "at the end")
    dropped = [line for line in forwarder.log().splitlines() if "is dropped" in line]
    case.record("lines about dropped reports: %d %s" % (len(dropped), dropped[:1]))
    broken = []
    if len(told()) + len(dropped) < taken:
        broken.append("%d clients were never told, without a line" % (taken - len(told()) - len(dropped)))
    if not forwarder.is_running():
        broken.append("the forwarder has ended")
    return broken


def show(case, forwarder, clinic, when):
    counters = forwarder.counters()
    with open("/proc/%d/status" % forwarder.process.pid) as f:
        resident = next(line.split()[1] for line in f if line.startswith("VmRSS"))
    names = ("entries_held", "entries_owed", "entries_reports_owed", "reports_owed_bytes", "reports_delivered",
             "reports_retried", "reports_dropped", "journal_bytes", "journal_full", "turned_down")
    case.record("%s: %s; %s kB resident; %d connections to the clinic's server" % (
        when, ", ".join("%s %s" % (name, counters.get(name)) for name in names), resident, clinic.connections))


def main():
    form = sys.argv[1]
    away_seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 60
    report_count = int(sys.argv[3]) if len(sys.argv) > 3 else 1
    folder = kit.tempfile.mkdtemp(prefix="outage-")
    kit.Case(folder).run(lambda case: play(case, form, away_seconds, report_count))


main()
