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
 * is decided elsewhere. All times in microseconds. Event loop.
 */
final class DiscoveryWatch {
    /**
     * A forwarder counts as knowing a change 6 s after discovery has it, even where the watch that should report it has
     * become unresponsive. A long poll of a third of that time leaves time to detect the failure and to retry several
     * times. A poll that brings no change costs nothing.
     */
    private static final long LONG_POLL_WAIT_MICROS = 2_000_000;
    /** A long poll without a response this long after its wait has timed out. */
    private static final long LONG_POLL_MARGIN_MICROS = 400_000;
    /**
     * A request with this wait is answered at once or, while discovery is down, not at all; once discovery has
     * recovered, a forwarder counts as knowing its list at once.
     */
    private static final long SHORT_POLL_WAIT_MICROS = 1_000;

    private static final long SHORT_POLL_TIMEOUT_MICROS = 300_000;
    /**
     * Limit from sending a request to the end of its response, whether or not it has timed out or arrives in pieces.
     */
    private static final long MAX_REQUEST_MICROS = 3_000_000;
    /** Retry delays after an unusable response; a request that follows within 200 ms counts as the same watch. */
    private static final long INITIAL_RETRY_DELAY_MICROS = 50_000, MAX_RESPONSE_RETRY_DELAY_MICROS = 150_000;
    /**
     * Longest retry delay where connecting fails or the connection is closed without a response. Requests cost
     * processor time on every forwarder; a directory that has recovered is noticed after this delay at the latest, as
     * is one that was unresponsive ({@link #SHORT_POLL_TIMEOUT_MICROS}).
     */
    private static final long MAX_CONNECT_RETRY_DELAY_MICROS = 300_000;
    /** The whole list is requested at least this often while it can't be read in full; changes are still followed. */
    private static final long MAX_WHOLE_LIST_DELAY_MICROS = 5_000_000;
    /** The interval for requesting a whole list that is over the size limit; changes are still followed. */
    private static final long OVERSIZED_LIST_DELAY_MICROS = 60_000_000;
    /** The same faults are logged again after this interval. */
    private static final long FAULT_LOG_INTERVAL_MICROS = 60_000_000;

    private static final int MAX_FAULTS_LOGGED = 20;
    /** Enough for a list of 20,000 endpoints of 200 bytes; memory is allocated as data arrives. */
    static final int MAX_RESPONSE_BYTES = 4 << 20;

    private static final int HTTP_OK = 200;
    private static final String LOG_PART = "directory";

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

    private final RetryBackoff connectBackoff;
    private final RetryBackoff responseBackoff;
    private final RetryBackoff wholeListBackoff;

    /** The version that the next changes are based on. */
    private long version = EndpointList.NO_VERSION;
    /** The last request has failed or timed out: the next one must show at once whether discovery is available. */
    private boolean isUnconfirmed = true;
    /**
     * An unusable response has arrived: the whole list is to be requested once {@code wholeListDueAtMicros} is reached.
     */
    private boolean needsWholeList;

    private long wholeListDueAtMicros;
    /** Until when the whole list is not requested because it is over the size limit. */
    private long oversizedUntilMicros;
    /** Requests are numbered as they are sent; this is the last one whose response was in order. */
    private long lastInOrderNumber;

    private long requestsSent;
    /** The request whose response is expected in time; null while the next one waits for its delay. */
    private PendingRequest currentRequest;
    /** The request that has timed out and is still open, or null. */
    private PendingRequest lateRequest;

    private Deadlines.Key retryTimer;
    private boolean isClosed;
    private List<EndpointList.Fault> loggedFaults = List.of();
    private long faultsLoggedAtMicros;

    /** Creates a watch at the address that uses the client's connections. */
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
     * Starts with a request for the whole list. A version known from elsewhere, else {@link EndpointList#NO_VERSION},
     * is used only where the whole list can't be fetched, as it may stem from another agent's numbering.
     */
    void start(long knownVersion) {
        version = knownVersion;
        needWholeListNow();
        sendNext();
    }

    /** Cancels all open requests; nothing more is reported. */
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

    // Requests
    private void sendNext() {
        core.deadlines().cancel(retryTimer);
        retryTimer = null;
        boolean asksWholeList = isWholeListDue();
        boolean isShortPoll = asksWholeList || isUnconfirmed;
        long waitMicros = isShortPoll ? SHORT_POLL_WAIT_MICROS : longPollWaitMicros();
        currentRequest = new PendingRequest(
                ++requestsSent,
                asksWholeList,
                isShortPoll,
                asksWholeList ? "" : "?after=" + version + "&wait_ms=" + waitMicros / 1000);
        currentRequest.timeout = core.deadlines()
                .schedule(
                        core.nowMicros()
                                + (isShortPoll ? SHORT_POLL_TIMEOUT_MICROS : waitMicros + LONG_POLL_MARGIN_MICROS),
                        currentRequest::onTimeout);
        currentRequest.send();
    }

    private boolean isWholeListDue() {
        return version == EndpointList.NO_VERSION || needsWholeList && core.nowMicros() >= wholeListDueAtMicros;
    }

    /** A long poll ends early where the whole list becomes due. */
    private long longPollWaitMicros() {
        return needsWholeList
                ? Math.max(
                        SHORT_POLL_WAIT_MICROS,
                        Math.min(LONG_POLL_WAIT_MICROS, wholeListDueAtMicros - core.nowMicros()))
                : LONG_POLL_WAIT_MICROS;
    }

    private void sendAfter(long delayMicros) {
        core.deadlines().cancel(retryTimer);
        retryTimer = core.deadlines().schedule(core.nowMicros() + delayMicros, this::sendNext);
    }

    /** The delay after an unusable response: until the whole list is due, if that is soon. */
    private long delayAfterResponse() {
        long delayMicros = responseBackoff.nextDelayMicros();
        long untilWholeListMicros = wholeListDueAtMicros - core.nowMicros();
        return needsWholeList && untilWholeListMicros > 0 && untilWholeListMicros <= MAX_RESPONSE_RETRY_DELAY_MICROS
                ? untilWholeListMicros
                : delayMicros;
    }

    /** Schedules a request for the whole list; repeated calls lead to requests at growing intervals. */
    void requestWholeList() {
        needWholeList();
    }

    /**
     * Discovery may have restarted since its last response and have reset its versions: changes it makes below the
     * known version would never be reported as changes.
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

    // Responses
    private void handleResponse(PendingRequest request, int status, byte[] body) {
        connectBackoff.reset();
        boolean isUsable = status == HTTP_OK ? onBody(request, body) : onError(status);
        if (!isClosed) {
            sendAfterResponse(isUsable);
        }
    }

    /**
     * Continues the chain after a response to its latest request, and after one to a late request while the latest is
     * a short poll.
     */
    private void sendAfterResponse(boolean isUsable) {
        if (currentRequest != null && isUsable && currentRequest.isShortPoll) {
            closeRequest(currentRequest); // its successor is a long poll, which returns all that this request would
            currentRequest = null;
        }
        if (currentRequest == null && isUsable) {
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

    /** Returns whether the next request may follow at once: the response is usable and was read without faults. */
    private boolean onBody(PendingRequest request, byte[] body) {
        EndpointList list;
        try {
            list = EndpointListReader.read(body);
        } catch (EndpointList.UnreadableListException e) {
            Logs.warn(
                    LOG_PART,
                    "unreadable",
                    "the response of " + address + " is not an endpoint list: " + e.getMessage());
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

    /**
     * Advances to the list's version and returns true if changes can build on it; otherwise the whole list is needed.
     */
    private boolean advance(PendingRequest request, EndpointList list) {
        boolean isOvertaken = request.number < lastInOrderNumber;
        boolean isOlder = list.version() < version;
        if (list.isTruncated()
                || list.version() == EndpointList.NO_VERSION
                || request.asksWholeList && !list.isWhole()) {
            needWholeList();
            return false;
        }
        if (isOvertaken && isOlder) {
            return true; // sent before the known version arrived
        }
        if (isOlder && !request.asksWholeList) {
            Logs.warn(
                    LOG_PART,
                    "older",
                    "version " + list.version() + " of " + address + " is older than " + version
                            + ": its removals are applied, and the whole list is requested");
            needWholeList();
            return false;
        }
        if (isOlder) {
            Logs.warn(
                    LOG_PART,
                    "older",
                    "the whole list of " + address + " has version " + list.version() + ", older than " + version
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
            // Only now: faults that follow a valid whole list must not cause it to be requested again at once.
            wholeListBackoff.reset();
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
            Logs.warn(
                    LOG_PART,
                    "unreadable",
                    "the partial response of " + address + " is not an endpoint list: " + e.getMessage());
        }
    }

    private String describe(HttpClient.PartialResponse partial, String reason) {
        String announced = partial.headers().getOrDefault("content-length", "unknown");
        return "the response of " + address + " "
                + (partial.isTooLarge() ? "is larger than " + MAX_RESPONSE_BYTES : reason)
                + ": " + partial.body().length + " bytes were read, its length is " + announced
                + ": its removals are applied, and the whole list is requested";
    }

    /** A whole list over the size limit never arrives: changes are followed from its version if none is known. */
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
        if (faults.isEmpty()
                || faults.equals(loggedFaults) && core.nowMicros() - faultsLoggedAtMicros < FAULT_LOG_INTERVAL_MICROS) {
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

    /** One request, from its sending until it is answered, fails or is cancelled. */
    private final class PendingRequest implements HttpClient.Listener {
        private final long number;
        private final boolean asksWholeList;
        /** Whether the agent answers it at once. */
        private final boolean isShortPoll;

        private final String query;
        private final long sentAtMicros = core.nowMicros();
        private HttpClient.Exchange exchange;
        private Deadlines.Key timeout;

        PendingRequest(long number, boolean asksWholeList, boolean isShortPoll, String query) {
            this.number = number;
            this.asksWholeList = asksWholeList;
            this.isShortPoll = isShortPoll;
            this.query = query;
        }

        void send() {
            exchange = client.send(address, address, "GET", "/registry/instances" + query, Map.of(), new byte[0], this);
        }

        /** A list has its version, and departures count from any list: no list is mistaken for another. */
        @Override
        public boolean isOwnResponse(HttpResponse response) {
            return true;
        }

        @Override
        public void onResponse(HttpResponse response) {
            remove();
            handleResponse(this, response.status(), response.body());
        }

        @Override
        public void onFailure(boolean written, int status) {
            boolean wasCurrent = currentRequest == this;
            remove();
            if (status != 0) { // a partial response still proves that the agent is reachable
                connectBackoff.reset();
                onPartialResponse(this, exchange.partialResponse(), "was cut off");
            }
            if (!isClosed && wasCurrent) {
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

        /** No response in time: the request stays open unless another late one does, and the next one is sent. */
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
            exchange.giveUp(() -> onPartialResponse(this, exchange.partialResponse(), "was not complete in time"));
        }

        private void remove() {
            core.deadlines().cancel(timeout);
            currentRequest = currentRequest == this ? null : currentRequest;
            lateRequest = lateRequest == this ? null : lateRequest;
        }
    }
}
