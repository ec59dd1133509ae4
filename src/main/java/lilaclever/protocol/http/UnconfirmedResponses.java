package lilaclever.protocol.http;

import java.util.ArrayList;
import java.util.List;
import lilaclever.routing.Refutation;

/**
 * The responses of one connection that may belong to other requests, oldest first. If one of them repeats an earlier
 * response, the connection owes one response more than was asked for on it, and it arrives: so all are confirmed once
 * the connection has stayed silent, and all are refuted by whatever arrives unasked. Event loop.
 */
final class UnconfirmedResponses {
    /** How long a connection stays silent after a response before the response is confirmed. */
    static final long SILENCE_MICROS = 600_000;
    /** A connection whose responses wait for longer is not used until they are confirmed. */
    static final long MAX_AGE_MICROS = 1_500_000;

    /** Hears what became of a response; one of the methods is called, once. */
    interface Listener {
        void onConfirmed();

        void onRefuted(Refutation refutation);
    }

    private final List<Listener> waiting = new ArrayList<>();
    private long confirmByMicros = Long.MAX_VALUE;

    /** Adds a response that should be confirmed by the given time. */
    void add(Listener listener, long byMicros, long nowMicros) {
        confirmByMicros = Math.min(confirmByMicros, Math.min(byMicros, nowMicros + MAX_AGE_MICROS + SILENCE_MICROS));
        waiting.add(listener);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Whether the connection should be left silent. */
    boolean needSilence(long nowMicros) {
        return nowMicros >= confirmByMicros - SILENCE_MICROS;
    }

    void confirmAll() {
        takeAll().forEach(Listener::onConfirmed);
    }

    void refuteAll(Refutation refutation) {
        takeAll().forEach(listener -> listener.onRefuted(refutation));
    }

    private List<Listener> takeAll() {
        List<Listener> all = List.copyOf(waiting);
        waiting.clear();
        confirmByMicros = Long.MAX_VALUE;
        return all;
    }
}
