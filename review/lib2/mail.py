"""Stand-ins for mail: an LMTP or SMTP server of a partner, and a client."""

import re
import socket
import threading
import time


class MailServer:
    """A partner's mail server. It runs each mail that it has taken whole, and drops repeats of a Message-ID for a while.

    reply(number, message id) gives the line that answers the content, or None for silence with the connection open. A
    mail that is answered with 4xx or 5xx is not run.
    """

    def __init__(self, record, name, repeat_window=0.0, reply=None):
        self.record = record
        self.name = name
        self.repeat_window = repeat_window
        self.reply = reply or (lambda number, message_id: "250 2.6.0 done %d" % number)
        self.lock = threading.Lock()
        self.taken = []  # (time, message id, ran, content)
        self.first_run = {}
        self.count = 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def lines(self, connection):
        pending = b""
        while True:
            data = connection.recv(2048)
            if not data:
                return
            pending += data
            *whole, pending = pending.split(b"\r\n")
            yield from whole

    def serve(self, connection):
        try:
            connection.sendall(b"220 partner.example LMTP ready\r\n")
            content = None
            for line in self.lines(connection):
                if content is not None:
                    if line != b".":
                        content.append(line[1:] if line.startswith(b".") else line)
                        continue
                    reply = self.take(b"\r\n".join(content).decode("latin-1"))
                    content = None
                    if reply:
                        connection.sendall(reply.encode() + b"\r\n")
                    continue
                verb = line.split(b" ")[0].upper()
                if verb in (b"LHLO", b"EHLO"):
                    connection.sendall(b"250-partner.example\r\n250 8BITMIME\r\n")
                elif verb == b"MAIL":
                    connection.sendall(b"250 2.1.0 sender ok\r\n")
                elif verb == b"RCPT":
                    connection.sendall(b"250 2.1.5 recipient ok\r\n")
                elif verb == b"DATA":
                    content = []
                    connection.sendall(b"354 go ahead\r\n")
                elif verb == b"QUIT":
                    connection.sendall(b"221 2.0.0 bye\r\n")
                    return
                else:
                    connection.sendall(b"250 2.0.0 ok\r\n")
        except OSError:
            pass
        finally:
            connection.close()

    def take(self, content):
        message_id = re.search(r"(?im)^Message-ID:\s*(\S+)", content).group(1)
        with self.lock:
            self.count += 1
            number = self.count
        reply = self.reply(number, message_id)
        if reply and reply[0] in "45":
            self.record("%s refuses mail %s: %s" % (self.name, message_id, reply))
            return reply
        with self.lock:
            now = time.monotonic()
            repeat = message_id in self.first_run and now - self.first_run[message_id] < self.repeat_window
            if not repeat:
                self.first_run[message_id] = now
            self.taken.append((now, message_id, not repeat, content))
        self.record("%s has taken mail %s whole, %s, and %s" % (
            self.name, message_id, "drops it as a repeat" if repeat else "RUNS it",
            "answers " + reply if reply else "is silent"))
        return reply

    def runs(self, message_id):
        with self.lock:
            return [t for t, taken_id, ran, _ in self.taken if taken_id == message_id and ran]


def connect(port, timeout):
    """Connects; the mail ports open a moment after the forwarder has said that it is ready."""
    deadline = time.monotonic() + 5
    while True:
        try:
            return socket.create_connection(("127.0.0.1", port), timeout=timeout)
        except ConnectionRefusedError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.05)


class MailClient:
    """One connection of a client to the forwarder."""

    def __init__(self, port, hello="LHLO", timeout=40):
        self.socket = connect(port, timeout)
        self.reader = self.socket.makefile("rb")
        self.expect("220")
        self.command(hello + " clinic.example")

    def expect(self, code=None):
        while True:
            line = self.reader.readline().decode("latin-1").rstrip("\r\n")
            if not line:
                raise OSError("the forwarder closed the connection")
            if line[3:4] != "-":
                break
        if code and not line.startswith(code):
            raise OSError("expected %s, got %s" % (code, line))
        return line

    def command(self, text, code="250"):
        self.socket.sendall(text.encode("latin-1") + b"\r\n")
        return self.expect(code)

    def send(self, sender, recipient, content):
        """Sends one mail; returns the reply to its content."""
        self.command("MAIL FROM:<%s>" % sender)
        self.command("RCPT TO:<%s>" % recipient)
        self.command("DATA", "354")
        lines = content.split("\r\n")
        stuffed = "\r\n".join("." + line if line.startswith(".") else line for line in lines)
        self.socket.sendall(stuffed.encode("latin-1") + b"\r\n.\r\n")
        return self.expect()

    def close(self):
        self.socket.close()


def mail(message_id, message_class, body):
    return "\r\n".join([
        "From: <orders@clinics.example>", "To: <desk@frames.example>", "Subject: order",
        "Message-ID: <%s>" % message_id, "X-Message-Class: " + message_class, "", body])


def mail_file(listeners, routes):
    return {
        "hostName": "forwarder.example", "listeners": listeners, "routes": routes,
        "classHeader": "X-Message-Class",
        "classes": {"order": "lens-order", "status": "status-update", "payment": "payment"},
        "reportClass": "status-update", "mostBytes": 65536, "mostRecipients": 100, "idleSeconds": 300}


class Link:
    """A proxy that stands for the way to a partner's machine: it passes bytes on until the machine is cut off.

    While it is cut off, open connections stay open and silent, and what is sent on them waits; new ones get no
    answer. The small segments and receive buffer stand for a way through a wide-area network.
    """

    def __init__(self, record, name, target, cut_after_content_bytes=None):
        self.record = record
        self.name = name
        self.target = target
        self.cut_after = cut_after_content_bytes
        self.up = threading.Event()
        self.up.set()
        self.cut_at = None
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        self.listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            threading.Thread(target=self.join, args=(near,), daemon=True).start()

    def join(self, near):
        self.up.wait()
        host, port = self.target.split(":")
        far = socket.create_connection((host, int(port)))
        threading.Thread(target=self.pump, args=(far, near, False), daemon=True).start()
        self.pump(near, far, True)

    def pump(self, source, sink, is_outward):
        passed = 0
        try:
            while True:
                self.up.wait()
                data = source.recv(1024)
                self.up.wait()
                if not data:
                    break
                sink.sendall(data)
                passed += len(data)
                if is_outward and self.cut_after is not None and passed >= self.cut_after and self.cut_at is None:
                    self.cut()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def cut(self):
        self.cut_at = time.monotonic()
        self.up.clear()
        self.record("%s is cut off" % self.name)

    def heal(self):
        self.record("%s is back" % self.name)
        self.up.set()
