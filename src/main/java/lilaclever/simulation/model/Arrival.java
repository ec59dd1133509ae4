package lilaclever.simulation.model;

/**
 * A message to be submitted at a time drawn in advance, independent of the outcome of earlier messages (an open-loop
 * load).
 */
public record Arrival(long atMicros, int number, int messageClass, int destination, long workMicros) {}
