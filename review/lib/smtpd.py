"""A mail server: SMTP, one thread a connection. Usage: smtpd.py PORT LOG [RCVBUF MSS]

It takes every mail, and applies it once its last line (the dot) has been read, as RFC 5321 says: from then on the server
answers for it. RCVBUF and MSS give its sockets a small receive buffer and the segment size of an Ethernet, so that what
it does not read stays with the sender. It begins to read a mail 0.5 s after its 354, in pieces of 2 KiB, 30 ms each.
"""

import socket
import sys
import threading
import time

port, log_path = int(sys.argv[1]), sys.argv[2]
rcvbuf, mss = (int(sys.argv[3]), int(sys.argv[4])) if len(sys.argv) > 4 else (0, 0)
log = open(log_path, "a")
lock = threading.Lock()


def note(text):
    with lock:
        log.write(text + "\n")
        log.flush()


class Lines:
    def __init__(self, sock):
        self.sock, self.buffer, self.slow = sock, b"", False

    def line(self):
        while b"\r\n" not in self.buffer:
            if self.slow:
                time.sleep(0.03)
            data = self.sock.recv(2048)
            if not data:
                return None
            self.buffer += data
        line, self.buffer = self.buffer.split(b"\r\n", 1)
        return line


def handle(sock, number):
    lines = Lines(sock)

    def say(text):
        sock.sendall(text.encode() + b"\r\n")

    try:
        say("220 frames.example ESMTP")
        while True:
            line = lines.line()
            if line is None:
                note(f"connection {number}: closed by the client")
                return
            verb = line.split(b" ")[0].upper()
            if verb in (b"EHLO", b"HELO", b"MAIL", b"RCPT", b"RSET", b"NOOP"):
                say("250 2.0.0 done")
            elif verb == b"QUIT":
                say("221 2.0.0 closes")
                return
            elif verb == b"DATA":
                say("354 go on")
                note(f"connection {number}: DATA begins")
                time.sleep(0.5)
                lines.slow = True
                message_id, size = "?", 0
                while True:
                    line = lines.line()
                    if line is None:
                        note(f"connection {number}: broke within the content, not applied")
                        return
                    if line == b".":
                        break
                    size += len(line) + 2
                    if line.lower().startswith(b"message-id:"):
                        message_id = line[11:].strip().decode()
                note(f"connection {number}: APPLIED {message_id} of {size} bytes")
                lines.slow = False
                say("250 2.0.0 applied")
            else:
                say("500 5.5.1 what?")
    except OSError as e:
        note(f"connection {number}: {e}")
    finally:
        sock.close()


listener = socket.socket()
listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
if rcvbuf:
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, mss)
listener.bind(("127.0.0.1", port))
listener.listen(64)
note("listens")
n = 0
while True:
    accepted, _ = listener.accept()
    n += 1
    note(f"connection {n}: accepted")
    threading.Thread(target=handle, args=(accepted, n), daemon=True).start()
