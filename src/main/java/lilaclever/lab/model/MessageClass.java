package lilaclever.lab.model;

import lilaclever.DecisionModule;

/**
 * A class of messages as partners and operators see it.
 *
 * @param share of all messages
 * @param workMicros the least and the most that a partner of usual pace works on one
 */
public record MessageClass(String name, double share, long[] workMicros, DecisionModule.MessageClass terms) {
    /** What a delivery is worth so long after the message was first handed in. */
    public double worth(long sinceMicros) {
        if (sinceMicros > terms.deadlineMicros()) {
            return 0;
        }
        if (sinceMicros <= terms.aimMicros() || terms.aimMicros() == 0) {
            return terms.worth();
        }
        double late = sinceMicros - terms.aimMicros();
        double left = terms.halves()
                ? Math.pow(0.5, late / terms.aimMicros())
                : 1 - late / (terms.deadlineMicros() - terms.aimMicros()) * (1 - terms.lateShare());
        return terms.worth() * Math.max(terms.lateShare(), left);
    }
}
