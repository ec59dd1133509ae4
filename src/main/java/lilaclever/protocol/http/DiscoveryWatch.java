package lilaclever.protocol.http;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import lilaclever.log.Logs;
import lilaclever.routing.Core;
import lilaclever.routing.Deadlines;

/**
 * Watches the endpoint list at one agent's address with a chain of requests: each is sent once its predecessor is
 * answered or has timed out. A request that has timed out stays open beside its successor, one at a time, since a slow
 * agent answers it in the end ({@code docs/discovery.md} has the arithmetic). The effect of a response on the endpoints
 * is decided elsewhere. All times in microseconds. Loop thread.
 */
final class DiscoveryWatch {
    /**
     * A change counts as known 6 s after discovery has it, even where the watch that should report it has become
     * unresponsive. A long poll of a third of that time leaves time to detect the failure and to retry several times. A
     * poll that brings no change costs nothing.
     */
    private static final long WATCH_WAIT = 2_000_000;
    /** A long poll without a response this long after its wait has timed out. */
    private static final long WATCH_MARGIN = 400_000;
    /**
     * A request with this wait is answered at once or, while discovery is down, not at all; a recovery of discovery
     * counts as known at once.
     */
    private static final long LOOK_WAIT = 1_000;

    private static final long LOOK_ANSWER_BY = 300_000;
    /**
     * Limit from sending a request to the end of its response, whether or not it has timed out or arrives in pieces.
     */
    private static final long LONGEST_SPAN = 3_000_000;
    /** Retry delays after an unusable response; the next request within 200 ms belongs to the same watch. */
    private static final long FIRST_PAUSE = 50_000, LONGEST_ANSWER_PAUSE = 150_000;
    /**
     * Longest retry delay where connecting fails or the connection is closed without a response. Requests cost
     * processor time on every forwarder; a directory that has recovered is noticed after this delay at the latest, as
     * is one that was unresponsive ({@link #LOOK_ANSWER_BY}).
     */
    private static final long LONGEST_CONNECT_PAUSE = 300_000;
    /** The whole list is requested at least this often while it can't be read in full; changes are still followed. */
    private static final long LONGEST_WHOLE_PAUSE = 5_000_000;
    /** The interval for requesting a whole list that is over the size limit; changes are still followed. */
    private static final long TOO_LARGE_PAUSE = 60_000_000;
    /** The same faults are logged again after this interval. */
    private static final long LOG_AGAIN = 60_000_000;

    private static final int MOST_FAULTS_LOGGED = 20;
    /** Enough for a list of 20,000 endpoints of 200 bytes; memory is allocated as data arrives. */
    static final int MOST_ANSWER = 4 << 20;

    private static final int HTTP_OK = 200;
    private static final String PART = "directory";

    /** Receives the lists. */
    interface Listener {
        /**
         * A response has arrived, in full or in part. {@code isInOrder}: it is complete and no older than the responses
         * before it.
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

    /** The version that the next changes are based on. */
    private long version = EndpointList.NO_VERSION;
    /** The last request has failed or timed out: the next one must show at once whether discovery is available. */
    private boolean isUnconfirmed = true;
    /**
     * An unusable response has arrived: the whole list is to be requested once {@code wholeListDueAtMicros} is reached.
     */
    private boolean needsWhole;

    private long wholeDueAt;
    /** Until when the whole list is not requested because it is over the size limit. */
    private long tooLargeUntil;
    /** Requests are numbered as they are sent; this is the last one whose response was in order. */
    private long lastInOrder;

    private long sent;
    /** The request whose response is expected in time; null while the next one waits for its delay. */
    private PendingRequest primary;
    /** The request that has timed out and is still open, or null. */
    private PendingRequest patient;

    private Deadlines.Key retry;
    private boolean isClosed;
    private List<EndpointList.Fault> loggedFaults = List.of();
    private long loggedAt;

    /** Creates a watch at the address that uses the client's connections. */
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
     * Starts with a request for the whole list. A version known from elsewhere, else {@link EndpointList#NO_VERSION},
     * is used only where the whole list can't be fetched, as it may stem from another agent's numbering.
     */
    void start(long knownVersion) {
        version = knownVersion;
        needWholeAtOnce();
        sendNext();
    }

    /** Cancels all open requests; nothing more is reported. */
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

    // Requests
    private void sendNext() {
        core.deadlines().cancel(retry);
        retry = null;
        boolean asksWhole = isWholeDue();
        boolean isLook = asksWhole || isUnconfirmed;
        long wait = isLook ? LOOK_WAIT : watchWait();
        primary = new PendingRequest(
                ++sent, asksWhole, isLook, asksWhole ? "" : "?after=" + version + "&wait_ms=" + wait / 1000);
        primary.timeout =
                core.deadlines().at(core.now() + (isLook ? LOOK_ANSWER_BY : wait + WATCH_MARGIN), primary::onLate);
        primary.send();
    }

    private boolean isWholeDue() {
        return version == EndpointList.NO_VERSION || needsWhole && core.now() >= wholeDueAt;
    }

    /** A long poll ends early where the whole list becomes due. */
    private long watchWait() {
        return needsWhole ? Math.max(LOOK_WAIT, Math.min(WATCH_WAIT, wholeDueAt - core.now())) : WATCH_WAIT;
    }

    private void sendAfter(long pause) {
        core.deadlines().cancel(retry);
        retry = core.deadlines().at(core.now() + pause, this::sendNext);
    }

    /** The delay after an unusable response: until the whole list is due, if that is soon. */
    private long pauseAfterAnswer() {
        long pause = answerPause.next();
        long untilWhole = wholeDueAt - core.now();
        return needsWhole && untilWhole > 0 && untilWhole <= LONGEST_ANSWER_PAUSE ? untilWhole : pause;
    }

    /** Has the whole list requested, at growing intervals while requests repeat. */
    void requestWholeList() {
        needWhole();
    }

    /**
     * Discovery may have restarted since its last response and have reset its versions: changes it makes below the
     * known version would never be reported as changes.
     */
    private void onLostTouch() {
        isUnconfirmed = true;
        needWholeAtOnce();
    }

    private void needWholeAtOnce() {
        needsWhole = true;
        wholeDueAt = Math.max(core.now(), tooLargeUntil);
    }

    private void needWhole() {
        if (!needsWhole || core.now() >= wholeDueAt) {
            needsWhole = true;
            wholeDueAt = core.now() + wholePause.next();
        }
    }

    // Responses
    private void onAnswer(PendingRequest request, int status, byte[] body) {
        connectPause.reset();
        boolean isGood = status == HTTP_OK ? onBody(request, body) : onError(status);
        if (!isClosed) {
            sendAfterAnswer(isGood);
        }
    }

    /**
     * Continues the chain after a response to its latest request, and after one to a late request while the latest is
     * a short poll.
     */
    private void sendAfterAnswer(boolean isGood) {
        if (primary != null && isGood && primary.isLook) {
            closeRequest(primary); // its successor is a long poll, which returns all that this request would
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

    /** Returns whether the next request may follow at once: the response is usable and was read without faults. */
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

    /**
     * Advances to the list's version and returns true if changes can build on it; otherwise the whole list is needed.
     */
    private boolean advance(PendingRequest request, EndpointList list) {
        boolean isOvertaken = request.number < lastInOrder;
        boolean isOlder = list.version() < version;
        if (list.isCut() || list.version() == EndpointList.NO_VERSION || request.asksWhole && !list.isWhole()) {
            needWhole();
            return false;
        }
        if (isOvertaken && isOlder) {
            return true; // sent before the known version arrived
        }
        if (isOlder && !request.asksWhole) {
            Logs.warn(
                    PART,
                    "older",
                    "version " + list.version() + " of " + address + " is older than " + version
                            + ": its removals are applied, and the whole list is requested");
            needWhole();
            return false;
        }
        if (isOlder) {
            Logs.warn(
                    PART,
                    "older",
                    "the whole list of " + address + " has version " + list.version() + " , older than " + version
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
            // Only now: faults that follow a valid whole list must not trigger an immediate request.
            wholePause.reset();
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
            Logs.warn(PART, "unreadable", "the partial response of " + address + " is no list: " + e.getMessage());
        }
    }

    private String describe(HttpClient.PartialAnswer partial, String reason) {
        String announced = partial.headers().getOrDefault("content-length", "unknown");
        return "the response of " + address + " " + (partial.isTooLarge() ? "is larger than " + MOST_ANSWER : reason)
                + ": " + partial.body().length + " bytes were read, its length is " + announced
                + ": its removals are applied, and the whole list is requested";
    }

    /** A whole list over the size limit never arrives: changes are followed from its version if none is known. */
    private void onTooLarge(PendingRequest request, EndpointList list) {
        if (!request.asksWhole) {
            return;
        }
        if (version == EndpointList.NO_VERSION) {
            version = list.version();
        }
        if (version != EndpointList.NO_VERSION) {
            tooLargeUntil = core.now() + TOO_LARGE_PAUSE;
            wholeDueAt = tooLargeUntil;
            answerPause.reset();
        }
    }

    private void logFaults(EndpointList list) {
        List<EndpointList.Fault> faults = list.faults();
        if (faults.isEmpty() || faults.equals(loggedFaults) && core.now() - loggedAt < LOG_AGAIN) {
            return;
        }
        loggedFaults = List.copyOf(faults.subList(0, Math.min(faults.size(), MOST_FAULTS_LOGGED)));
        loggedAt = core.now();
        for (EndpointList.Fault fault : loggedFaults) {
            Logs.warn(PART, "fault", address + ": " + fault, "endpoint", fault.name());
        }
        if (faults.size() > MOST_FAULTS_LOGGED) {
            Logs.warn(PART, "fault", address + ": " + (faults.size() - MOST_FAULTS_LOGGED) + " more");
        }
    }

    /** One request, from its sending until it is answered, fails or is cancelled. */
    private final class PendingRequest implements HttpClient.Listener {
        private final long number;
        private final boolean asksWhole;
        /** Whether the agent answers it at once. */
        private final boolean isLook;

        private final String query;
        private final long sentAt = core.now();
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
            if (status != 0) { // a partial response still proves that the agent is reachable
                connectPause.reset();
                onPartialAnswer(this, exchange.partialAnswer(), "was cut off");
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

        /** No response in time: the request stays open unless another late one does, and the next one is sent. */
        void onLate() {
            onLostTouch();
            primary = null;
            if (patient == null) {
                patient = this;
                timeout = core.deadlines().at(sentAt + LONGEST_SPAN, this::giveUp);
            } else {
                giveUp();
            }
            sendNext();
        }

        private void giveUp() {
            forget();
            exchange.giveUp(() -> onPartialAnswer(this, exchange.partialAnswer(), "was not complete in time"));
        }

        private void forget() {
            core.deadlines().cancel(timeout);
            primary = primary == this ? null : primary;
            patient = patient == this ? null : patient;
        }
    }
}
