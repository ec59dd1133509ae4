package lilaclever.protocol.http;

import java.util.ArrayList;
import java.util.List;

/**
 * The responses of one connection that may belong to other requests, oldest first. If one of them repeats an earlier
 * response, the connection owes one response more than was asked for on it, and it arrives: so all are confirmed once
 * the connection has stayed silent, and all are refuted by whatever arrives unasked. Event loop.
 */
final class UnconfirmedResponses {
    /** How long a connection stays silent after a response before the response is confirmed. */
    static final long SILENCE_MICROS = 600_000;
    /** A connection whose responses wait for longer is not used until they are confirmed. */
    private static final long MAX_AGE_MICROS = 1_500_000;

    /** Hears what became of a response; one of the methods is called, once. */
    interface Listener {
        void onConfirmed();

        void onRefuted();
    }

    private final List<Listener> waiting = new ArrayList<>();
    private long oldestMicros;
    private boolean isUrgent;

    /** Adds a response; {@code holdsOutcome}: its request has no outcome before it is confirmed. */
    void add(Listener listener, boolean holdsOutcome, long nowMicros) {
        oldestMicros = waiting.isEmpty() ? nowMicros : oldestMicros;
        isUrgent |= holdsOutcome;
        waiting.add(listener);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Whether the connection should be left silent. */
    boolean needSilence(long nowMicros) {
        return !waiting.isEmpty() && (isUrgent || nowMicros - oldestMicros >= MAX_AGE_MICROS);
    }

    void confirmAll() {
        takeAll().forEach(Listener::onConfirmed);
    }

    void refuteAll() {
        takeAll().forEach(Listener::onRefuted);
    }

    private List<Listener> takeAll() {
        List<Listener> all = List.copyOf(waiting);
        waiting.clear();
        isUrgent = false;
        return all;
    }
}
