package lilaclever;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import lilaclever.DecisionModule.MessageClass;

/** What a relay remembers: fields only. What they mean and how they change is decided in DeliveryPolicy.java. */
final class PolicyState {
    private PolicyState() {}

    record Due(long at, long order, Message message) {}

    record Pick(Message message, Endpoint endpoint, double rank) {}

    /** A call that is out: messages without an outcome, and whether it has told anything. */
    static final class Call {
        final List<Message> messages = new ArrayList<>(1);
        Endpoint endpoint;
        boolean dropped;
        int left;
        long sentAt;
        boolean told;
    }

    /** The messages of one key, in the order taken. */
    static final class Line {
        final ArrayDeque<Message> messages = new ArrayDeque<>();
        long restUntil;
        Message restOwner;
    }

    /** A destination: what waits for it, and where it may go. */
    static final class Queue {
        final LinkedHashSet<Message> waiting = new LinkedHashSet<>();
        final List<Endpoint> endpoints = new ArrayList<>();
        Limit shared;
        long lookAt;
    }

    static final class Message {
        final String id;
        final MessageClass kind;
        Queue queue;
        Line line;
        String key;
        double worth;
        long takenAt, deadline, notBefore;
        int attempts;
        Endpoint out, lastHost;
        Call call;
        long sentAt;
        boolean mayHaveRun;
        long riskAt;
        int riskZone;
        boolean over, resumed;

        Message(String id, MessageClass kind) {
            this.id = id;
            this.kind = kind;
        }
    }

    static final class Endpoint {
        final String host;
        final Queue queue;
        final Limit limit;
        final int zone, kind, batch;
        final ArrayDeque<Long> idle = new ArrayDeque<>();
        final LinkedHashSet<Call> calls = new LinkedHashSet<>();
        boolean active, hung, turned;
        int out;
        long lastSend = Long.MIN_VALUE / 4, takenSentAt = Long.MIN_VALUE / 4;
        int fails;
        double ill;
        long avoidUntil, badSince;
        int blip;
        boolean outage;
        long trialPause;
        long rampFrom;

        Endpoint(String host, Queue queue, Limit limit, int zone, int kind, int batch) {
            this.host = host;
            this.queue = queue;
            this.limit = limit;
            this.zone = zone;
            this.kind = kind;
            this.batch = batch;
        }
    }

    static final class Limit {
        final List<Endpoint> endpoints = new ArrayList<>();
        int out;
        long lastSend = Long.MIN_VALUE / 4;
        long waitUntil, opensAt, holdUntil, shortWaitAt = Long.MIN_VALUE / 4;
        long cutAt = Long.MIN_VALUE / 4;
        double pace, roof, jitter = 1;
        double told, left, recent, usual, unseen = 1;
        long countedAt;
        double latency;
        double patience = 1;
        int fails;
        boolean failsMany, usedUp, reported;
        Endpoint failedLast;
        int fulls, turned;
        long badSince, lasted;
    }
}
