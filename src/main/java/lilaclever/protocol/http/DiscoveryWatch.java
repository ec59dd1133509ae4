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
    private static final long LONG_POLL_WAIT_MICROS = 2_000_000;
    /** A watch that is not answered so long after its wait is late. */
    private static final long LONG_POLL_MARGIN_MICROS = 400_000;
    /** What is answered at once or, while discovery is down, not at all; its return counts as told at once. */
    private static final long SHORT_POLL_WAIT_MICROS = 1_000;

    private static final long SHORT_POLL_TIMEOUT_MICROS = 300_000;
    /** From its sending to the end of its answer a request may take so long, late or not, in pieces or not. */
    private static final long MAX_REQUEST_MICROS = 3_000_000;
    /** After an answer that can't be built on; the next request belongs to the same watch for 200 ms. */
    private static final long INITIAL_RETRY_DELAY_MICROS = 50_000, MAX_RESPONSE_RETRY_DELAY_MICROS = 150_000;
    /**
     * The longest pause where no connection comes up or it is closed with no answer. To ask costs processor time on
     * every forwarder; a directory that is back is noticed after this at the latest, as one that was silent is ({@link
     * #SHORT_POLL_TIMEOUT_MICROS}).
     */
    private static final long MAX_CONNECT_RETRY_DELAY_MICROS = 300_000;
    /** The whole list is asked for again at least this often while it can't be read in full; changes go on. */
    private static final long MAX_WHOLE_LIST_DELAY_MICROS = 5_000_000;
    /** The whole list is asked for again so seldom where it is over the bound; changes go on. */
    private static final long OVERSIZED_LIST_DELAY_MICROS = 60_000_000;
    /** The same faults are logged again after this. */
    private static final long FAULT_LOG_INTERVAL_MICROS = 60_000_000;

    private static final int MAX_FAULTS_LOGGED = 20;
    /** A list of 20,000 endpoints of 200 bytes; room is taken as it comes. */
    static final int MAX_RESPONSE_BYTES = 4 << 20;

    private static final int HTTP_OK = 200;
    private static final String LOG_PART = "directory";

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

    private final RetryBackoff connectBackoff;
    private final RetryBackoff responseBackoff;
    private final RetryBackoff wholeListBackoff;

    /** The version that the next changes follow. */
    private long version = EndpointList.NO_VERSION;
    /** The last request has failed or is late: the next must tell at once whether discovery is there. */
    private boolean isUnconfirmed = true;
    /** What came can't be built on: the whole list is to be asked for, once its time has come. */
    private boolean needsWholeList;

    private long wholeListDueAtMicros;
    /** Until when the whole list is not asked for, as it is over the bound. */
    private long oversizedUntilMicros;
    /** Requests are numbered as they are sent; this is the last whose answer was in order. */
    private long lastInOrderNumber;

    private long requestsSent;
    /** The request whose answer is expected in time; null while the next one waits for its pause. */
    private PendingRequest currentRequest;
    /** The late request that is still open, or null. */
    private PendingRequest lateRequest;

    private Deadlines.Key retryTimer;
    private boolean isClosed;
    private List<EndpointList.Fault> loggedFaults = List.of();
    private long faultsLoggedAtMicros;

    /** A watch at the address, over the client's connections. */
    DiscoveryWatch(Core core, HttpClient client, String address, SplittableRandom random, Listener listener) {
        this.core = core;
        this.client = client;
        this.address = address;
        this.listener = listener;
        this.connectBackoff = new RetryBackoff(INITIAL_RETRY_DELAY_MICROS, MAX_CONNECT_RETRY_DELAY_MICROS, random);
        this.responseBackoff = new RetryBackoff(INITIAL_RETRY_DELAY_MICROS, MAX_RESPONSE_RETRY_DELAY_MICROS, random);
        this.wholeListBackoff = new RetryBackoff(INITIAL_RETRY_DELAY_MICROS, MAX_WHOLE_LIST_DELAY_MICROS, random);
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
        needWholeListNow();
        sendNext();
    }

    /** Gives up all that is open; nothing more is told. */
    void close() {
        isClosed = true;
        core.deadlines().cancel(retryTimer);
        closeRequest(currentRequest);
        closeRequest(lateRequest);
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
        core.deadlines().cancel(retryTimer);
        retryTimer = null;
        boolean asksWhole = isWholeListDue();
        boolean isLook = asksWhole || isUnconfirmed;
        long wait = isLook ? SHORT_POLL_WAIT_MICROS : longPollWaitMicros();
        currentRequest = new PendingRequest(
                ++requestsSent, asksWhole, isLook, asksWhole ? "" : "?after=" + version + "&wait_ms=" + wait / 1000);
        currentRequest.timeout = core.deadlines()
                .schedule(core.nowMicros() + (isLook ? SHORT_POLL_TIMEOUT_MICROS : wait + LONG_POLL_MARGIN_MICROS), currentRequest::onTimeout);
        currentRequest.send();
    }

    private boolean isWholeListDue() {
        return version == EndpointList.NO_VERSION || needsWholeList && core.nowMicros() >= wholeListDueAtMicros;
    }

    /** A watch ends early where the whole list is due. */
    private long longPollWaitMicros() {
        return needsWholeList ? Math.max(SHORT_POLL_WAIT_MICROS, Math.min(LONG_POLL_WAIT_MICROS, wholeListDueAtMicros - core.nowMicros())) : LONG_POLL_WAIT_MICROS;
    }

    private void sendAfter(long pause) {
        core.deadlines().cancel(retryTimer);
        retryTimer = core.deadlines().schedule(core.nowMicros() + pause, this::sendNext);
    }

    /** After an answer that can't be built on: until the whole list is due, if that is soon. */
    private long delayAfterResponse() {
        long pause = responseBackoff.nextDelayMicros();
        long untilWhole = wholeListDueAtMicros - core.nowMicros();
        return needsWholeList && untilWhole > 0 && untilWhole <= MAX_RESPONSE_RETRY_DELAY_MICROS ? untilWhole : pause;
    }

    /** Has the whole list asked for, at a pace that falls while it is asked for again and again. */
    void requestWholeList() {
        needWholeList();
    }

    /**
     * Discovery may have restarted since its last answer, and count anew: what it has changed below the version that is
     * held would never be among its changes.
     */
    private void onContactLost() {
        isUnconfirmed = true;
        needWholeListNow();
    }

    private void needWholeListNow() {
        needsWholeList = true;
        wholeListDueAtMicros = Math.max(core.nowMicros(), oversizedUntilMicros);
    }

    private void needWholeList() {
        if (!needsWholeList || core.nowMicros() >= wholeListDueAtMicros) {
            needsWholeList = true;
            wholeListDueAtMicros = core.nowMicros() + wholeListBackoff.nextDelayMicros();
        }
    }

    // ---- answers ------------------------------------------------------------------------------------------
    private void handleResponse(PendingRequest request, int status, byte[] body) {
        connectBackoff.reset();
        boolean isGood = status == HTTP_OK ? onBody(request, body) : onError(status);
        if (!isClosed) {
            sendAfterResponse(isGood);
        }
    }

    /** The chain goes on behind an answer of its latest request, and behind that of a late one while it looks. */
    private void sendAfterResponse(boolean isGood) {
        if (currentRequest != null && isGood && currentRequest.isShortPoll) {
            closeRequest(currentRequest); // its successor is a watch, which brings all that the look would
            currentRequest = null;
        }
        if (currentRequest == null && isGood) {
            sendNext();
        } else if (currentRequest == null && retryTimer == null) {
            sendAfter(delayAfterResponse());
        }
    }

    private boolean onError(int status) {
        Logs.warn(LOG_PART, "unreadable", address + " answers with status " + status);
        isUnconfirmed = true;
        needWholeList();
        return false;
    }

    /** Whether the next request may follow at once: the answer can be built on, and all of it was read. */
    private boolean onBody(PendingRequest request, byte[] body) {
        EndpointList list;
        try {
            list = EndpointListReader.read(body);
        } catch (EndpointList.UnreadableListException e) {
            Logs.warn(LOG_PART, "unreadable", "the answer of " + address + " is no list: " + e.getMessage());
            isUnconfirmed = true;
            needWholeList();
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
        boolean isOvertaken = request.number < lastInOrderNumber;
        boolean isOlder = list.version() < version;
        if (list.isTruncated() || list.version() == EndpointList.NO_VERSION || request.asksWholeList && !list.isWhole()) {
            needWholeList();
            return false;
        }
        if (isOvertaken && isOlder) {
            return true; // sent before what is held
        }
        if (isOlder && !request.asksWholeList) {
            Logs.warn(
                    LOG_PART,
                    "older",
                    "version " + list.version() + " of " + address + " is older than " + version
                            + ": what leaves there counts, and the whole list is asked for");
            needWholeList();
            return false;
        }
        if (isOlder) {
            Logs.warn(
                    LOG_PART,
                    "older",
                    "the whole list of " + address + " has version " + list.version() + " behind " + version
                            + ": changes count from there");
        }
        version = list.version();
        lastInOrderNumber = Math.max(lastInOrderNumber, request.number);
        updateWholeListNeed(request, list);
        return true;
    }

    private void updateWholeListNeed(PendingRequest request, EndpointList list) {
        if (!list.faults().isEmpty()) {
            needWholeList();
            return;
        }
        responseBackoff.reset();
        if (list.isWhole()) {
            needsWholeList = false;
        } else if (!needsWholeList && !request.asksWholeList) {
            wholeListBackoff.reset(); // only now: a list that is in order and followed by disorder is not asked for at once
        }
    }

    private void onPartialResponse(PendingRequest request, HttpClient.PartialResponse partial, String reason) {
        if (isClosed || partial == null || partial.status() != HTTP_OK || partial.body().length == 0) {
            return;
        }
        Logs.warn(LOG_PART, "cut", describe(partial, reason));
        needWholeList();
        try {
            EndpointList list = EndpointListReader.read(partial.body()).truncated();
            if (partial.isTooLarge()) {
                onOversizedList(request, list);
            }
            listener.onList(this, list, false);
        } catch (EndpointList.UnreadableListException e) {
            Logs.warn(LOG_PART, "unreadable", "the part of an answer of " + address + " is no list: " + e.getMessage());
        }
    }

    private String describe(HttpClient.PartialResponse partial, String reason) {
        String announced = partial.headers().getOrDefault("content-length", "unknown");
        return "an answer of " + address + " " + (partial.isTooLarge() ? "is larger than " + MAX_RESPONSE_BYTES : reason)
                + ": " + partial.body().length + " bytes were read, its length is " + announced
                + ": what leaves there counts, and the whole list is asked for";
    }

    /** A whole list over the bound never comes: changes are watched, without a version held from where it stands. */
    private void onOversizedList(PendingRequest request, EndpointList list) {
        if (!request.asksWholeList) {
            return;
        }
        if (version == EndpointList.NO_VERSION) {
            version = list.version();
        }
        if (version != EndpointList.NO_VERSION) {
            oversizedUntilMicros = core.nowMicros() + OVERSIZED_LIST_DELAY_MICROS;
            wholeListDueAtMicros = oversizedUntilMicros;
            responseBackoff.reset();
        }
    }

    private void logFaults(EndpointList list) {
        List<EndpointList.Fault> faults = list.faults();
        if (faults.isEmpty() || faults.equals(loggedFaults) && core.nowMicros() - faultsLoggedAtMicros < FAULT_LOG_INTERVAL_MICROS) {
            return;
        }
        loggedFaults = List.copyOf(faults.subList(0, Math.min(faults.size(), MAX_FAULTS_LOGGED)));
        faultsLoggedAtMicros = core.nowMicros();
        for (EndpointList.Fault fault : loggedFaults) {
            Logs.warn(LOG_PART, "fault", address + ": " + fault, "endpoint", fault.name());
        }
        if (faults.size() > MAX_FAULTS_LOGGED) {
            Logs.warn(LOG_PART, "fault", address + ": " + (faults.size() - MAX_FAULTS_LOGGED) + " more");
        }
    }

    /** One request, from its sending until it is answered, breaks or is given up. */
    private final class PendingRequest implements HttpClient.Listener {
        private final long number;
        private final boolean asksWholeList;
        /** Whether it is answered at once. */
        private final boolean isShortPoll;

        private final String query;
        private final long sentAtMicros = core.nowMicros();
        private HttpClient.Exchange exchange;
        private Deadlines.Key timeout;

        PendingRequest(long number, boolean asksWhole, boolean isLook, String query) {
            this.number = number;
            this.asksWholeList = asksWhole;
            this.isShortPoll = isLook;
            this.query = query;
        }

        void send() {
            exchange = client.send(address, address, "GET", "/registry/instances" + query, Map.of(), new byte[0], this);
        }

        @Override
        public void onResponse(int status, Map<String, String> headers, byte[] body) {
            remove();
            handleResponse(this, status, body);
        }

        @Override
        public void onFailure(boolean written, int status) {
            boolean wasPrimary = currentRequest == this;
            remove();
            if (status != 0) { // an answer that did not come whole is one all the same
                connectBackoff.reset();
                onPartialResponse(this, exchange.partialResponse(), "broke off");
            }
            if (!isClosed && wasPrimary) {
                onFailedResponse(status);
                sendAfter(status == 0 ? connectBackoff.nextDelayMicros() : delayAfterResponse());
            }
        }

        private void onFailedResponse(int status) {
            if (status == 0) {
                onContactLost();
            } else {
                isUnconfirmed = true;
            }
        }

        /** Not answered in time: it stays open if no other late one does, and the next is sent. */
        void onTimeout() {
            onContactLost();
            currentRequest = null;
            if (lateRequest == null) {
                lateRequest = this;
                timeout = core.deadlines().schedule(sentAtMicros + MAX_REQUEST_MICROS, this::giveUp);
            } else {
                giveUp();
            }
            sendNext();
        }

        private void giveUp() {
            remove();
            exchange.giveUp(() -> onPartialResponse(this, exchange.partialResponse(), "was given up"));
        }

        private void remove() {
            core.deadlines().cancel(timeout);
            currentRequest = currentRequest == this ? null : currentRequest;
            lateRequest = lateRequest == this ? null : lateRequest;
        }
    }
}
