"""A client of HL7 v2 over MLLP."""

import socket

VT, FS, CR = b"\x0b", b"\x1c", b"\r"


def order(control, event="ORM^O01", sender="CLINIC1", receiver="LAB", enhanced=True):
    ack = "|||AL|AL" if enhanced else ""
    return (f"MSH|^~\\&|{sender}|NORTH|{receiver}|EAST|20260131120000||{event}|{control}|P|2.5{ack}\r"
            f"ORC|NW|{control}\r").encode()


class Client:
    def __init__(self, record, port, name="clinic"):
        self.record, self.name = record, name
        self.sock = socket.create_connection(("127.0.0.1", port), 5)
        self.buffer = b""

    def send(self, message):
        self.record(self.name, "hands in", message=message)
        self.sock.sendall(VT + message + FS + CR)

    def acknowledgement(self, seconds):
        """(code, control id) of the next acknowledgement, or None if none came."""
        self.sock.settimeout(seconds)
        try:
            while FS + CR not in self.buffer:
                data = self.sock.recv(65536)
                if not data:
                    return None
                self.buffer += data
        except OSError:
            return None
        frame, self.buffer = self.buffer.split(FS + CR, 1)
        self.record(self.name, "hears", frame=frame)
        fields = next(s for s in frame[1:].decode().split("\r") if s.startswith("MSA")).split("|")
        return fields[1], fields[2]

    def close(self):
        self.sock.close()


CONF = """[identity]
shared yes
http-practice X-Practice

[mllp clinics]
address 127.0.0.1:{port}
networks 127.0.0.0/8

[practice north]
senders CLINIC1 CLINIC2

[hl7-class lens-order]
events ORM^O01

[hl7-class payment]
events DFT^P03

[hl7-destination 7]
receivers LAB
"""
