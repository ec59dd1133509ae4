package lilaclever;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lilaclever.DecisionModule.Action;
import lilaclever.DecisionModule.Ending;
import lilaclever.DecisionModule.Event;
import lilaclever.DecisionModule.Group;
import lilaclever.DecisionModule.MessageClass;
import lilaclever.DecisionModule.Presence;
import lilaclever.DecisionModule.Repeat;
import lilaclever.DecisionModule.Settings;

/**
 * Follows the events and actions of a decision module, and records each breach of the rules that it must keep. It has
 * no model of a destination: for the rule on recovering destinations, the caller says when an outage ended and what
 * the capacity is.
 */
final class RuleChecker {
    private static final double SLACK_CALLS = 3;

    private final Settings settings;
    private final List<String> breaches = new ArrayList<>();
    private final Map<String, Seen> messages = new LinkedHashMap<>();
    private final Map<String, HostSeen> hosts = new HashMap<>();
    private final Map<String, List<Seen>> keys = new HashMap<>();
    private final Map<String, Long> keyRest = new HashMap<>();
    private final Map<String, Seen> keyRestOwner = new HashMap<>();
    private final Map<String, Long> waits = new HashMap<>();
    private final Map<String, Return> returns = new HashMap<>();
    private int slots;

    private static final class Seen {
        private MessageClass kind;
        private int destination;
        private String key;
        private long answerBy;
        private int attempts;
        private String outAt;
        private long sentAt;
        private boolean mayHaveRun;
        private long riskAt;
        private int riskZone;
        private boolean over;
        private long withdrawnAt = -1;
    }

    private static final class HostSeen {
        private int destination;
        private int zone;
        private boolean own;
        private long goneAt = Long.MAX_VALUE;
    }

    /** A limit that recovers from an outage, and the calls sent to it. */
    private static final class Return {
        private double capacity;
        private long at = Long.MAX_VALUE;
        private boolean broken;
        private final List<Long> sends = new ArrayList<>();
    }

    RuleChecker(Settings settings) {
        this.settings = settings;
    }

    List<String> breaches() {
        return breaches;
    }

    /** Ids of messages that are not finished. */
    Set<String> open() {
        Set<String> ids = new LinkedHashSet<>();
        messages.forEach((id, m) -> {
            if (!m.over) {
                ids.add(id);
            }
        });
        return ids;
    }

    /** From this time on, calls to the host's limit count against its capacity (calls a second after slow start). */
    void returned(String host, long at, double capacity) {
        Return r = returns.computeIfAbsent(limit(host), k -> new Return());
        r.capacity = capacity;
        r.at = at;
    }

    private String limit(String host) {
        HostSeen h = hosts.get(host);
        return h.own ? host : "destination " + h.destination;
    }

    void round(long now, List<Event> events, List<Action> actions) {
        for (Event event : events) {
            if (event instanceof Event.Listing e) {
                listing(now, e);
            } else if (event instanceof Event.Submit e) {
                submit(now, e);
            } else if (event instanceof Event.Outcome e) {
                outcome(now, e);
            } else if (event instanceof Event.Withdrawn e && messages.containsKey(e.id())) {
                // An answer in the same round crosses the withdrawal; the client ignores it.
                messages.get(e.id()).withdrawnAt = messages.get(e.id()).over ? -1 : now;
                messages.get(e.id()).over = true;
            }
        }
        Set<String> waitsNow = new LinkedHashSet<>();
        waits.forEach((limit, until) -> {
            if (now < until) {
                waitsNow.add(limit);
            }
        });
        for (Action action : actions) {
            if (action instanceof Action.Send a) {
                send(now, a, waitsNow);
            } else if (action instanceof Action.Refuse a) {
                answer(now, a.id(), true);
            } else if (action instanceof Action.Fail a) {
                answer(now, a.id(), false);
            }
        }
        messages.forEach((id, m) -> {
            if (!m.over && now > m.answerBy + settings.rules().answerSlackMicros()) {
                breach(now, "lost", id + " has no answer by its deadline");
                m.over = true;
            }
        });
        returns.forEach((limit, r) -> budget(now, limit, r));
    }

    private void breach(long now, String rule, String text) {
        breaches.add(rule + ": at " + now + " " + text);
    }

    private void listing(long now, Event.Listing e) {
        if (e.kind() == DecisionModule.ListingKind.ALL || e.kind() == DecisionModule.ListingKind.REMEMBERED) {
            Set<String> named = new LinkedHashSet<>();
            e.entries().forEach(x -> named.add(x.host()));
            hosts.forEach((host, h) -> {
                if (!named.contains(host)) {
                    h.goneAt = Math.min(h.goneAt, now);
                }
            });
        }
        for (DecisionModule.Entry entry : e.entries()) {
            HostSeen h = hosts.computeIfAbsent(entry.host(), k -> new HostSeen());
            h.destination = entry.destination();
            h.zone = entry.zone();
            h.own = entry.kind() < settings.kinds().size()
                    && settings.kinds().get(entry.kind()).ownLimits();
            h.goneAt = entry.presence() == Presence.ACTIVE ? Long.MAX_VALUE : Math.min(h.goneAt, now);
        }
    }

    private void submit(long now, Event.Submit e) {
        Seen m = new Seen();
        m.kind = settings.classes().get(e.messageClass());
        m.destination = e.destination();
        m.key = m.kind.ordered() ? e.key() : null;
        m.answerBy = now + e.budgetMicros();
        messages.put(e.id(), m);
        if (m.key != null) {
            keys.computeIfAbsent(m.key, k -> new ArrayList<>()).add(m);
        }
    }

    private void outcome(long now, Event.Outcome e) {
        Seen m = messages.get(e.id());
        if (m == null || m.outAt == null || e.attempt() != m.attempts - 1) {
            return;
        }
        slots--;
        boolean ran = !e.ending().neverRan();
        if (ran && e.ending() != Ending.DELIVERED && !m.mayHaveRun) {
            m.mayHaveRun = true;
            m.riskAt = m.sentAt;
            m.riskZone = hosts.get(m.outAt).zone;
        }
        m.attempts -= e.ending() == Ending.WITHHELD ? 1 : 0; // a withheld call is no attempt
        if (e.waitMicros() > 0) {
            waits.merge(limit(m.outAt), now + e.waitMicros(), Math::max);
        }
        if (m.key != null
                && (e.ending() == Ending.TIMED_OUT || e.ending() == Ending.RESET || e.ending() == Ending.CANCELED)) {
            keyRest.put(m.key, now + settings.rules().orderPauseMicros());
            keyRestOwner.put(m.key, m);
        }
        m.outAt = null;
        m.over |= e.over() || e.ending() == Ending.DELIVERED;
    }

    private void send(long now, Action.Send a, Set<String> waitsNow) {
        Seen m = messages.get(a.id());
        HostSeen h = hosts.get(a.host());
        if (m == null || h == null || h.destination != m.destination) {
            breach(now, "fault", a + " names an unknown message or host, or a host of another destination");
            return;
        }
        if (m.over) {
            breach(now, "lost", a.id() + " is sent after it was finished");
        }
        if (m.outAt != null) {
            breach(now, "effect", a.id() + " has two attempts in flight");
        }
        if (m.mayHaveRun && m.kind.repeat() == Repeat.UNSAFE) {
            breach(now, "effect", a.id() + " is unsafe, may have run and is sent again");
        }
        if (m.mayHaveRun && m.kind.repeat() == Repeat.KEYED) {
            if (now - m.riskAt > m.kind.repeatWindowMicros()) {
                breach(now, "effect", a.id() + " is repeated after its repeat window");
            }
            if (m.kind.group() == Group.ZONE && h.zone != m.riskZone) {
                breach(now, "effect", a.id() + " is repeated outside its group");
            }
        }
        if (h.goneAt != Long.MAX_VALUE && now > h.goneAt + settings.rules().drainGraceMicros()) {
            breach(now, "drain", a.host() + " is sent to after its drain grace period");
        }
        if (waitsNow.contains(limit(a.host()))) {
            breach(now, "wait", a.host() + " is sent to during its retry-after period");
        }
        if (m.attempts >= settings.limits().maxAttempts()) {
            breach(now, "attempts", a.id() + " has no attempt left");
        }
        if (m.key != null) {
            order(now, a, m);
        }
        m.attempts++;
        m.outAt = a.host();
        m.sentAt = now;
        slots++;
        Return r = returns.get(limit(a.host()));
        if (r != null) {
            r.sends.add(now);
        }
    }

    private void order(long now, Action.Send a, Seen m) {
        for (Seen earlier : keys.get(m.key)) {
            if (earlier == m) {
                break;
            }
            if (!earlier.over || earlier.outAt != null) {
                breach(now, "order", a.id() + " is sent before an earlier message of its key is finished");
            }
        }
        if (now < keyRest.getOrDefault(m.key, 0L) && keyRestOwner.get(m.key) != m) {
            breach(now, "order", a.id() + " is sent during the delay of its key");
        }
    }

    private void answer(long now, String id, boolean refused) {
        Seen m = messages.get(id);
        if (m == null) {
            breach(now, "fault", id + " is unknown");
            return;
        }
        if (m.over && m.withdrawnAt != now) {
            breach(now, "lost", id + " is answered twice");
        }
        boolean mayRun = m.mayHaveRun || m.outAt != null;
        if (refused
                && mayRun
                && (m.kind.repeat() == Repeat.UNSAFE
                        || m.kind.repeat() == Repeat.KEYED && m.kind.group() != Group.ALL)) {
            breach(now, "effect", id + " may have run and is refused");
        }
        m.over = true;
    }

    /** Calls sent in any window of a recovery must stay below multiple x present capacity x window. */
    private void budget(long now, String limit, Return r) {
        if (now < r.at || now > r.at + settings.rules().rampMicros()) {
            return;
        }
        long from = now - settings.rules().overloadMicros();
        long sent = r.sends.stream().filter(t -> t > Math.max(from, r.at)).count();
        double since = (double) (now - r.at) / settings.rules().rampMicros();
        double present = r.capacity
                * (settings.rules().coldFrom() + (1 - settings.rules().coldFrom()) * since);
        double most =
                settings.rules().tipMultiple() * present * settings.rules().overloadMicros() / 1e6 + SLACK_CALLS;
        if (sent > most && !r.broken) {
            r.broken = true;
            breach(now, "fail-back", limit + " is sent " + sent + " calls, more than " + most);
        }
    }
}
