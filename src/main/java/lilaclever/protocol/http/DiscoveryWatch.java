package lilaclever.protocol.http;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import lilaclever.log.Logs;
import lilaclever.routing.Core;
import lilaclever.routing.Deadlines;

/**
 * Watches the list of endpoints at one agent's address: a chain of requests, each sent as the one before is answered or
 * is late. A late request stays open beside its successor, one at a time, since a slow agent answers it in the end
 * ({@code docs/discovery.md} has the arithmetic). What the answers mean for the endpoints is decided elsewhere. All
 * times in microseconds. Loop thread.
 */
final class DiscoveryWatch {
    /**
     * A change counts as told 6 s after discovery had it, also where the watch that should bring it has fallen silent.
     * A watch that waits for a third of that leaves time to find out, and to ask again some times. One that brings
     * nothing costs nothing.
     */
    private static final long WATCH_WAIT = 2_000_000;
    /** A watch that is not answered so long after its wait is late. */
    private static final long WATCH_MARGIN = 400_000;
    /** What is answered at once or, while discovery is down, not at all; its return counts as told at once. */
    private static final long LOOK_WAIT = 1_000;

    private static final long LOOK_ANSWER_BY = 300_000;
    /** From its sending to the end of its answer a request may take so long, late or not, in pieces or not. */
    private static final long LONGEST_SPAN = 3_000_000;
    /** After an answer that can't be built on; the next request belongs to the same watch for 200 ms. */
    private static final long FIRST_PAUSE = 50_000, LONGEST_ANSWER_PAUSE = 150_000;
    /**
     * The longest pause where no connection comes up or it is closed with no answer. To ask costs processor time on
     * every forwarder; a directory that is back is noticed after this at the latest, as one that was silent is ({@link
     * #LOOK_ANSWER_BY}).
     */
    private static final long LONGEST_CONNECT_PAUSE = 300_000;
    /** The whole list is asked for again at least this often while it can't be read in full; changes go on. */
    private static final long LONGEST_WHOLE_PAUSE = 5_000_000;
    /** The whole list is asked for again so seldom where it is over the bound; changes go on. */
    private static final long TOO_LARGE_PAUSE = 60_000_000;
    /** The same faults are logged again after this. */
    private static final long LOG_AGAIN = 60_000_000;

    private static final int MOST_FAULTS_LOGGED = 20;
    /** A list of 20,000 endpoints of 200 bytes; room is taken as it comes. */
    static final int MOST_ANSWER = 4 << 20;

    private static final int HTTP_OK = 200;
    private static final String PART = "directory";

    /** Who gets the lists. */
    interface Listener {
        /**
         * An answer has come, whole or as far as it goes. {@code isInOrder}: it came in full and is no older than what
         * came before.
         */
        void onList(DiscoveryWatch source, EndpointList list, boolean isInOrder);
    }

    private final Core core;
    private final HttpClient client;
    private final String address;
    private final Listener listener;

    private final RetryPause connectPause;
    private final RetryPause answerPause;
    private final RetryPause wholePause;

    /** The version that the next changes follow. */
    private long version = EndpointList.NO_VERSION;
    /** The last request has failed or is late: the next must tell at once whether discovery is there. */
    private boolean isUnconfirmed = true;
    /** What came can't be built on: the whole list is to be asked for, once its time has come. */
    private boolean needsWhole;

    private long wholeDueAt;
    /** Until when the whole list is not asked for, as it is over the bound. */
    private long tooLargeUntil;
    /** Requests are numbered as they are sent; this is the last whose answer was in order. */
    private long lastInOrder;

    private long sent;
    /** The request whose answer is expected in time; null while the next one waits for its pause. */
    private PendingRequest primary;
    /** The late request that is still open, or null. */
    private PendingRequest patient;

    private Deadlines.Key retry;
    private boolean isClosed;
    private List<EndpointList.Fault> loggedFaults = List.of();
    private long loggedAt;

    /** A watch at the address, over the client's connections. */
    DiscoveryWatch(Core core, HttpClient client, String address, SplittableRandom random, Listener listener) {
        this.core = core;
        this.client = client;
        this.address = address;
        this.listener = listener;
        this.connectPause = new RetryPause(FIRST_PAUSE, LONGEST_CONNECT_PAUSE, random);
        this.answerPause = new RetryPause(FIRST_PAUSE, LONGEST_ANSWER_PAUSE, random);
        this.wholePause = new RetryPause(FIRST_PAUSE, LONGEST_WHOLE_PAUSE, random);
    }

    String address() {
        return address;
    }

    /**
     * Starts to watch with the whole list. A version known from elsewhere, else {@link EndpointList#NO_VERSION}, counts
     * only where the whole list can't be had: it may be of another agent's count.
     */
    void start(long knownVersion) {
        version = knownVersion;
        needWholeAtOnce();
        sendNext();
    }

    /** Gives up all that is open; nothing more is told. */
    void close() {
        isClosed = true;
        core.deadlines().cancel(retry);
        closeRequest(primary);
        closeRequest(patient);
        client.closeIdle(address);
    }

    private void closeRequest(PendingRequest request) {
        if (request != null) {
            core.deadlines().cancel(request.timeout);
            request.exchange.close();
        }
    }

    // ---- sending ------------------------------------------------------------------------------------------
    private void sendNext() {
        core.deadlines().cancel(retry);
        retry = null;
        boolean asksWhole = isWholeDue();
        boolean isLook = asksWhole || isUnconfirmed;
        long wait = isLook ? LOOK_WAIT : watchWait();
        primary = new PendingRequest(
                ++sent, asksWhole, isLook, asksWhole ? "" : "?after=" + version + "&wait_ms=" + wait / 1000);
        primary.timeout = core.deadlines()
                .schedule(core.nowMicros() + (isLook ? LOOK_ANSWER_BY : wait + WATCH_MARGIN), primary::onLate);
        primary.send();
    }

    private boolean isWholeDue() {
        return version == EndpointList.NO_VERSION || needsWhole && core.nowMicros() >= wholeDueAt;
    }

    /** A watch ends early where the whole list is due. */
    private long watchWait() {
        return needsWhole ? Math.max(LOOK_WAIT, Math.min(WATCH_WAIT, wholeDueAt - core.nowMicros())) : WATCH_WAIT;
    }

    private void sendAfter(long pause) {
        core.deadlines().cancel(retry);
        retry = core.deadlines().schedule(core.nowMicros() + pause, this::sendNext);
    }

    /** After an answer that can't be built on: until the whole list is due, if that is soon. */
    private long pauseAfterAnswer() {
        long pause = answerPause.next();
        long untilWhole = wholeDueAt - core.nowMicros();
        return needsWhole && untilWhole > 0 && untilWhole <= LONGEST_ANSWER_PAUSE ? untilWhole : pause;
    }

    /** Has the whole list asked for, at a pace that falls while it is asked for again and again. */
    void requestWholeList() {
        needWhole();
    }

    /**
     * Discovery may have restarted since its last answer, and count anew: what it has changed below the version that is
     * held would never be among its changes.
     */
    private void onLostTouch() {
        isUnconfirmed = true;
        needWholeAtOnce();
    }

    private void needWholeAtOnce() {
        needsWhole = true;
        wholeDueAt = Math.max(core.nowMicros(), tooLargeUntil);
    }

    private void needWhole() {
        if (!needsWhole || core.nowMicros() >= wholeDueAt) {
            needsWhole = true;
            wholeDueAt = core.nowMicros() + wholePause.next();
        }
    }

    // ---- answers ------------------------------------------------------------------------------------------
    private void onAnswer(PendingRequest request, int status, byte[] body) {
        connectPause.reset();
        boolean isGood = status == HTTP_OK ? onBody(request, body) : onError(status);
        if (!isClosed) {
            sendAfterAnswer(isGood);
        }
    }

    /** The chain goes on behind an answer of its latest request, and behind that of a late one while it looks. */
    private void sendAfterAnswer(boolean isGood) {
        if (primary != null && isGood && primary.isLook) {
            closeRequest(primary); // its successor is a watch, which brings all that the look would
            primary = null;
        }
        if (primary == null && isGood) {
            sendNext();
        } else if (primary == null && retry == null) {
            sendAfter(pauseAfterAnswer());
        }
    }

    private boolean onError(int status) {
        Logs.warn(PART, "unreadable", address + " answers with status " + status);
        isUnconfirmed = true;
        needWhole();
        return false;
    }

    /** Whether the next request may follow at once: the answer can be built on, and all of it was read. */
    private boolean onBody(PendingRequest request, byte[] body) {
        EndpointList list;
        try {
            list = EndpointListReader.read(body);
        } catch (EndpointList.UnreadableListException e) {
            Logs.warn(PART, "unreadable", "the answer of " + address + " is no list: " + e.getMessage());
            isUnconfirmed = true;
            needWhole();
            return false;
        }
        logFaults(list);
        boolean isInOrder = advance(request, list);
        isUnconfirmed = !isInOrder;
        listener.onList(this, list, isInOrder);
        return isInOrder && list.faults().isEmpty();
    }

    /** Goes on from the list's version where changes can follow it, and says so; else the whole list is needed. */
    private boolean advance(PendingRequest request, EndpointList list) {
        boolean isOvertaken = request.number < lastInOrder;
        boolean isOlder = list.version() < version;
        if (list.isCut() || list.version() == EndpointList.NO_VERSION || request.asksWhole && !list.isWhole()) {
            needWhole();
            return false;
        }
        if (isOvertaken && isOlder) {
            return true; // sent before what is held
        }
        if (isOlder && !request.asksWhole) {
            Logs.warn(
                    PART,
                    "older",
                    "version " + list.version() + " of " + address + " is older than " + version
                            + ": what leaves there counts, and the whole list is asked for");
            needWhole();
            return false;
        }
        if (isOlder) {
            Logs.warn(
                    PART,
                    "older",
                    "the whole list of " + address + " has version " + list.version() + " behind " + version
                            + ": changes count from there");
        }
        version = list.version();
        lastInOrder = Math.max(lastInOrder, request.number);
        noteOrder(request, list);
        return true;
    }

    private void noteOrder(PendingRequest request, EndpointList list) {
        if (!list.faults().isEmpty()) {
            needWhole();
            return;
        }
        answerPause.reset();
        if (list.isWhole()) {
            needsWhole = false;
        } else if (!needsWhole && !request.asksWhole) {
            wholePause.reset(); // only now: a list that is in order and followed by disorder is not asked for at once
        }
    }

    private void onPartialAnswer(PendingRequest request, HttpClient.PartialAnswer partial, String reason) {
        if (isClosed || partial == null || partial.status() != HTTP_OK || partial.body().length == 0) {
            return;
        }
        Logs.warn(PART, "cut", describe(partial, reason));
        needWhole();
        try {
            EndpointList list = EndpointListReader.read(partial.body()).cut();
            if (partial.isTooLarge()) {
                onTooLarge(request, list);
            }
            listener.onList(this, list, false);
        } catch (EndpointList.UnreadableListException e) {
            Logs.warn(PART, "unreadable", "the part of an answer of " + address + " is no list: " + e.getMessage());
        }
    }

    private String describe(HttpClient.PartialAnswer partial, String reason) {
        String announced = partial.headers().getOrDefault("content-length", "unknown");
        return "an answer of " + address + " " + (partial.isTooLarge() ? "is larger than " + MOST_ANSWER : reason)
                + ": " + partial.body().length + " bytes were read, its length is " + announced
                + ": what leaves there counts, and the whole list is asked for";
    }

    /** A whole list over the bound never comes: changes are watched, without a version held from where it stands. */
    private void onTooLarge(PendingRequest request, EndpointList list) {
        if (!request.asksWhole) {
            return;
        }
        if (version == EndpointList.NO_VERSION) {
            version = list.version();
        }
        if (version != EndpointList.NO_VERSION) {
            tooLargeUntil = core.nowMicros() + TOO_LARGE_PAUSE;
            wholeDueAt = tooLargeUntil;
            answerPause.reset();
        }
    }

    private void logFaults(EndpointList list) {
        List<EndpointList.Fault> faults = list.faults();
        if (faults.isEmpty() || faults.equals(loggedFaults) && core.nowMicros() - loggedAt < LOG_AGAIN) {
            return;
        }
        loggedFaults = List.copyOf(faults.subList(0, Math.min(faults.size(), MOST_FAULTS_LOGGED)));
        loggedAt = core.nowMicros();
        for (EndpointList.Fault fault : loggedFaults) {
            Logs.warn(PART, "fault", address + ": " + fault, "endpoint", fault.name());
        }
        if (faults.size() > MOST_FAULTS_LOGGED) {
            Logs.warn(PART, "fault", address + ": " + (faults.size() - MOST_FAULTS_LOGGED) + " more");
        }
    }

    /** One request, from its sending until it is answered, breaks or is given up. */
    private final class PendingRequest implements HttpClient.Listener {
        private final long number;
        private final boolean asksWhole;
        /** Whether it is answered at once. */
        private final boolean isLook;

        private final String query;
        private final long sentAt = core.nowMicros();
        private HttpClient.Exchange exchange;
        private Deadlines.Key timeout;

        PendingRequest(long number, boolean asksWhole, boolean isLook, String query) {
            this.number = number;
            this.asksWhole = asksWhole;
            this.isLook = isLook;
            this.query = query;
        }

        void send() {
            exchange = client.send(address, address, "GET", "/registry/instances" + query, Map.of(), new byte[0], this);
        }

        @Override
        public void answered(int status, Map<String, String> headers, byte[] body) {
            forget();
            onAnswer(this, status, body);
        }

        @Override
        public void broke(boolean written, int status) {
            boolean wasPrimary = primary == this;
            forget();
            if (status != 0) { // an answer that did not come whole is one all the same
                connectPause.reset();
                onPartialAnswer(this, exchange.partialAnswer(), "broke off");
            }
            if (!isClosed && wasPrimary) {
                onBrokenAnswer(status);
                sendAfter(status == 0 ? connectPause.next() : pauseAfterAnswer());
            }
        }

        private void onBrokenAnswer(int status) {
            if (status == 0) {
                onLostTouch();
            } else {
                isUnconfirmed = true;
            }
        }

        /** Not answered in time: it stays open if no other late one does, and the next is sent. */
        void onLate() {
            onLostTouch();
            primary = null;
            if (patient == null) {
                patient = this;
                timeout = core.deadlines().schedule(sentAt + LONGEST_SPAN, this::giveUp);
            } else {
                giveUp();
            }
            sendNext();
        }

        private void giveUp() {
            forget();
            exchange.giveUp(() -> onPartialAnswer(this, exchange.partialAnswer(), "was given up"));
        }

        private void forget() {
            core.deadlines().cancel(timeout);
            primary = primary == this ? null : primary;
            patient = patient == this ? null : patient;
        }
    }
}
