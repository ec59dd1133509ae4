"""Stand-ins for HL7 v2 over MLLP: a client of a clinic, and the operator's file for it."""

import socket
import threading
import time

from mail import connect


def message(event, control_id, segment, sender="CLINIC1", mode="|||AL|AL", receiver="LAB"):
    """A message in enhanced mode with both acknowledgements, or in original mode with mode ""."""
    return ("MSH|^~\\&|%s|NORTH|%s|PRAIRIE|20261201080000||%s|%s|P|2.5%s\r%s\r" % (
        sender, receiver, event, control_id, mode, segment)).encode()


def operator_file(port, destination, *further):
    return "\n".join([
        "[identity]", "shared yes", "http-practice X-Practice",
        "[mllp clinics]", "address 127.0.0.1:%d" % port, "networks 127.0.0.0/8",
        "[practice north]", "senders CLINIC1 CLINIC2",
        "[hl7-class lens-order]", "events ORM^O01",
        "[hl7-class payment]", "events DFT^P03",
        "[hl7-destination %d]" % destination, "receivers LAB", *further, ""])


class Client:
    """One connection; answers() are pairs of acknowledgement code and control id, in the order of their coming."""

    def __init__(self, port):
        self.socket = connect(port, None)
        self.lock = threading.Lock()
        self.received = []
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        data = b""
        try:
            while True:
                part = self.socket.recv(65536)
                if not part:
                    return
                data += part
                *frames, data = data.split(b"\x1c\r")
                for frame in frames:
                    for segment in frame.split(b"\r"):
                        if segment.startswith(b"MSA"):
                            fields = segment.decode("latin-1").split("|")
                            with self.lock:
                                self.received.append((time.monotonic(), fields[1], fields[2]))
        except OSError:
            pass

    def send(self, body):
        self.socket.sendall(b"\x0b" + body + b"\x1c\r")

    def answers(self, control_id):
        with self.lock:
            return [code for _, code, answered_id in self.received if answered_id == control_id]

    def close(self):
        self.socket.shutdown(socket.SHUT_RDWR)  # a close alone would wait for the reading thread
        self.socket.close()
