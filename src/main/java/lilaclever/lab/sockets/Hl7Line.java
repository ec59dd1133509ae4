package lilaclever.lab.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lilaclever.lab.model.Arrival;
import lilaclever.lab.world.World;

/**
 * A clinic system's line to one forwarder: HL7 v2.5 over MLLP in enhanced mode, many messages in flight on one
 * connection. It connects again whenever the connection ends, as ends may be owed there. A thread reads; the rest runs
 * on the timeline's.
 */
final class Hl7Line {
    private static final int CONNECT = 500, AGAIN = 50;
    private static final long PATIENCE = 400_000;
    private static final Pattern MSA = Pattern.compile("\rMSA\\|(A[AER]|C[AER])\\|([^|\r]+)(?:\\|([^\r]*))?");
    private static final Pattern COME_BACK = Pattern.compile("come again in ([0-9.]{1,9}) s");

    private final World world;
    private final RealTime time;
    private final InetSocketAddress address;
    private volatile StandInConnection wire;
    private volatile boolean closed;

    Hl7Line(World world, RealTime time, InetSocketAddress address) {
        this.world = world;
        this.time = time;
        this.address = address;
        Threads.start("hl7 line", this::keep);
    }

    private void keep() throws InterruptedException {
        while (!closed) {
            try (Socket s = new Socket()) {
                s.connect(address, CONNECT);
                StandInConnection up = new StandInConnection(s);
                wire = up;
                for (String frame = up.readFrame(); frame != null; frame = up.readFrame()) {
                    String read = frame;
                    time.post(() -> acknowledged(read));
                }
            } catch (IOException e) {
                // nobody there, or it has died
            }
            wire = null;
            Thread.sleep(AGAIN);
        }
    }

    /** Hands a message in; what becomes of it is told to the world. */
    void handIn(String id, Arrival a, long leftMicros) {
        StandInConnection to = wire;
        if (to == null) {
            world.onConnectionRefused(id);
            return;
        }
        String message = "MSH|^~\\&|" + OperatorFile.SENDER + "|NORTH|" + OperatorFile.receiver(a.destination())
                + "|PRAIRIE|20260101000000||"
                + OperatorFile.event(a.messageClass()) + '|' + id + "|P|2.5|||AL|AL\rORC|NW|" + a.number() + "\rZLC|"
                + String.format(Locale.ROOT, "%.3f", leftMicros / 1e6) + '\r';
        try {
            to.writeFrame(message);
        } catch (IOException e) {
            world.onNoAnswer(id);
            return;
        }
        time.after(PATIENCE, () -> world.onNoAnswer(id)); // no more than a word if it has its answer by then
    }

    private void acknowledged(String frame) {
        Matcher m = MSA.matcher(frame);
        if (!m.find()) {
            world.auditor().count("acknowledgements_that_can_not_be_read");
            return;
        }
        String id = m.group(2);
        if (!world.isCurrent(id)) {
            world.auditor().count("acknowledgements_of_no_message");
            return;
        }
        switch (m.group(1)) {
            case "CA" -> world.onAccepted(id);
            case "CE", "CR" -> world.onRefused(id, comeBack(frame));
            case "AE" -> world.onNotice(id, "undeliverable");
            case "AR" -> world.onNotice(id, "deferred");
            default -> world.auditor().count("application_accepts");
        }
    }

    private static long comeBack(String text) {
        Matcher m = COME_BACK.matcher(text);
        return m.find() ? (long) (Double.parseDouble(m.group(1)) * 1e6) : 0;
    }

    void close() {
        closed = true;
        StandInConnection last = wire;
        if (last != null) {
            last.close();
        }
    }
}
