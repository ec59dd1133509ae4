package lilaclever.simulation.model;

import lilaclever.DecisionModule;

/**
 * A message class: its share of the traffic, its processing cost and its delivery terms.
 *
 * @param share of all messages
 * @param workMicros the least and the most processing time of one message at a partner of average speed
 */
public record MessageClass(String name, double share, long[] workMicros, DecisionModule.MessageClass terms) {
    /** The worth of a delivery at the given time after the message was first submitted. */
    public double worth(long sinceMicros) {
        if (sinceMicros > terms.deadlineMicros()) {
            return 0;
        }
        if (sinceMicros <= terms.aimMicros() || terms.aimMicros() == 0) {
            return terms.worth();
        }
        double lateMicros = sinceMicros - terms.aimMicros();
        double remainingShare = terms.halves()
                ? Math.pow(0.5, lateMicros / terms.aimMicros())
                : 1 - lateMicros / (terms.deadlineMicros() - terms.aimMicros()) * (1 - terms.lateShare());
        return terms.worth() * Math.max(terms.lateShare(), remainingShare);
    }
}
