package lilaclever.simulation.sockets;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lilaclever.simulation.model.Arrival;
import lilaclever.simulation.world.World;

/**
 * A clinic system's connection to one forwarder: HL7 v2.5 over MLLP in enhanced mode, with many messages in flight on
 * one connection. It reconnects whenever the connection ends, since application acknowledgements may still be pending.
 * A separate thread reads; everything else runs on the timeline's thread.
 */
final class Hl7Submitter {
    private static final int CONNECT_TIMEOUT_MILLIS = 500, RECONNECT_DELAY_MILLIS = 50;
    private static final long ANSWER_TIMEOUT_MICROS = 400_000;
    private static final Pattern MSA = Pattern.compile("\rMSA\\|(A[AER]|C[AER])\\|([^|\r]+)(?:\\|([^\r]*))?");
    private static final Pattern RETRY_AFTER = Pattern.compile("come again in ([0-9.]{1,9}) s");

    private final World world;
    private final RealTimeline timeline;
    private final InetSocketAddress address;
    private volatile StandInConnection connection;
    private volatile boolean closed;

    Hl7Submitter(World world, RealTimeline timeline, InetSocketAddress address) {
        this.world = world;
        this.timeline = timeline;
        this.address = address;
        SocketThreads.start("hl7 line", this::keepConnected);
    }

    private void keepConnected() throws InterruptedException {
        while (!closed) {
            try (Socket socket = new Socket()) {
                socket.connect(address, CONNECT_TIMEOUT_MILLIS);
                StandInConnection newConnection = new StandInConnection(socket);
                connection = newConnection;
                for (String frame = newConnection.readFrame(); frame != null; frame = newConnection.readFrame()) {
                    String received = frame;
                    timeline.post(() -> handleAcknowledgement(received));
                }
            } catch (IOException e) {
                // the forwarder is not listening, or the connection broke
            }
            connection = null;
            Thread.sleep(RECONNECT_DELAY_MILLIS);
        }
    }

    /** Submits a message and reports the outcome to the world. */
    void submit(String id, Arrival arrival, long leftMicros) {
        StandInConnection current = connection;
        if (current == null) {
            world.onConnectionRefused(id);
            return;
        }
        String message =
                "MSH|^~\\&|" + OperatorFile.SENDER + "|NORTH|" + OperatorFile.receiverName(arrival.destination())
                        + "|PRAIRIE|20260101000000||"
                        + OperatorFile.eventCode(arrival.messageClass()) + '|' + id + "|P|2.5|||AL|AL\rORC|NW|"
                        + arrival.number() + "\rZLC|"
                        + String.format(Locale.ROOT, "%.3f", leftMicros / 1e6) + '\r';
        try {
            current.writeFrame(message);
        } catch (IOException e) {
            world.onNoAnswer(id);
            return;
        }
        // This has no effect if the message was answered by then.
        timeline.after(ANSWER_TIMEOUT_MICROS, () -> world.onNoAnswer(id));
    }

    private void handleAcknowledgement(String frame) {
        Matcher matcher = MSA.matcher(frame);
        if (!matcher.find()) {
            world.auditor().count("acknowledgements_that_can_not_be_read");
            return;
        }
        String id = matcher.group(2);
        if (!world.isCurrent(id)) {
            world.auditor().count("acknowledgements_of_no_message");
            return;
        }
        switch (matcher.group(1)) {
            case "CA" -> world.onAccepted(id);
            case "CE", "CR" -> world.onRejected(id, retryAfterMicros(frame));
            case "AE" -> world.onNotice(id, "undeliverable");
            case "AR" -> world.onNotice(id, "deferred");
            default -> world.auditor().count("application_accepts");
        }
    }

    private static long retryAfterMicros(String text) {
        Matcher matcher = RETRY_AFTER.matcher(text);
        return matcher.find() ? (long) (Double.parseDouble(matcher.group(1)) * 1e6) : 0;
    }

    void close() {
        closed = true;
        StandInConnection last = connection;
        if (last != null) {
            last.close();
        }
    }
}
